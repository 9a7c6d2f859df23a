#include "node/settings_reader.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace sailgate::node {

SettingsTable::SettingsTable(std::shared_ptr<const toml::table> root, const toml::table* table,
                             std::string file, std::string path)
    : root_(std::move(root)), table_(table), file_(std::move(file)), path_(std::move(path)) {}

const toml::node* SettingsTable::find(const std::string& key) {
  known_.insert(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

std::size_t SettingsTable::line_of(const std::string& key) const {
  if (table_ == nullptr) return 0;
  const auto* node = table_->get(key);
  const auto& source = node == nullptr ? table_->source() : node->source();
  return source.begin.line;
}

void SettingsTable::fail(const std::string& key, const std::string& what) const {
  throw SettingsError(file_, line_of(key), path_ + key, what);
}

std::string SettingsTable::text(const std::string& key, const std::string& fallback) {
  const auto* node = find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value_exact<std::string>();
  if (!value) fail(key, "must be a string");
  return *value;
}

std::string SettingsTable::required_text(const std::string& key) {
  if (find(key) == nullptr) fail(key, "is missing");
  auto value = text(key, {});
  if (value.empty()) fail(key, "must not be empty");
  return value;
}

std::int64_t SettingsTable::integer(const std::string& key, std::int64_t fallback,
                                    std::int64_t lowest, std::int64_t highest) {
  const auto* node = find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) fail(key, "must be an integer");
  if (*value < lowest || *value > highest) {
    fail(key, "must be from " + std::to_string(lowest) + " to " + std::to_string(highest));
  }
  return *value;
}

bool SettingsTable::flag(const std::string& key, bool fallback) {
  const auto* node = find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value_exact<bool>();
  if (!value) fail(key, "must be true or false");
  return *value;
}

std::vector<std::string> SettingsTable::texts(const std::string& key) {
  const auto* node = find(key);
  if (node == nullptr) return {};
  const auto* array = node->as_array();
  if (array == nullptr) fail(key, "must be an array of strings");
  std::vector<std::string> result;
  for (const auto& element : *array) {
    const auto value = element.value_exact<std::string>();
    if (!value) fail(key, "must be an array of strings");
    result.push_back(*value);
  }
  return result;
}

std::vector<SettingsTable> SettingsTable::tables(const std::string& key) {
  const auto* node = find(key);
  if (node == nullptr) return {};
  const auto* array = node->as_array();
  if (array == nullptr) fail(key, "must be an array of tables");
  std::vector<SettingsTable> result;
  for (const auto& element : *array) {
    const auto* table = element.as_table();
    if (table == nullptr) fail(key, "must be an array of tables");
    result.emplace_back(root_, table, file_, path_ + key + ".");
  }
  return result;
}

SettingsTable SettingsTable::table(const std::string& key) {
  const auto* node = find(key);
  if (node == nullptr) return {root_, nullptr, file_, path_ + key + "."};
  const auto* table = node->as_table();
  if (table == nullptr) fail(key, "must be a table");
  return {root_, table, file_, path_ + key + "."};
}

std::vector<std::string> SettingsTable::keys() const {
  std::vector<std::string> result;
  if (table_ == nullptr) return result;
  for (const auto& [key, value] : *table_) result.emplace_back(key.str());
  return result;
}

void SettingsTable::finish() const {
  if (table_ == nullptr) return;
  for (const auto& [key, value] : *table_) {
    const std::string name(key.str());
    if (known_.count(name) == 0) fail(name, "is not a known key");
  }
}

SettingsTable parse_settings(const std::string& content, const std::string& name) {
  try {
    auto root = std::make_shared<const toml::table>(toml::parse(content, name));
    const auto* table = root.get();
    return {std::move(root), table, name, ""};
  } catch (const toml::parse_error& error) {
    throw SettingsError(name, error.source().begin.line, "syntax",
                        std::string(error.description()));
  }
}

SettingsTable read_settings_file(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) throw SettingsError(file, 0, "file", "cannot be read");
  std::ostringstream content;
  content << stream.rdbuf();
  return parse_settings(content.str(), file);
}

}  // namespace sailgate::node

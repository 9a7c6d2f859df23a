/// @file Checked reading of a TOML settings file: every mistake names file, line and key.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace sailgate::node {

/// A settings file that cannot be used.
class SettingsError : public std::runtime_error {
 public:
  SettingsError(const std::string& file, std::size_t line, const std::string& key,
                const std::string& what)
      : std::runtime_error(file + ":" + std::to_string(line) + ": " + key + ": " + what) {}
};

/// One table of a settings file. Keys read are remembered; finish() rejects all others.
class SettingsTable {
 public:
  /// @param root keeps the parsed document alive: a copied table would lose its line numbers.
  SettingsTable(std::shared_ptr<const toml::table> root, const toml::table* table, std::string file,
                std::string path);

  std::string text(const std::string& key, const std::string& fallback);
  std::string required_text(const std::string& key);
  std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t lowest,
                       std::int64_t highest);
  bool flag(const std::string& key, bool fallback);
  std::vector<std::string> texts(const std::string& key);
  /// Sub-tables of an array of tables; empty when the key is absent.
  std::vector<SettingsTable> tables(const std::string& key);
  /// Sub-table, empty when absent.
  SettingsTable table(const std::string& key);
  bool has(const std::string& key) const { return table_ != nullptr && table_->contains(key); }
  /// Keys of this table, for tables whose keys are names.
  std::vector<std::string> keys() const;

  /// @throws SettingsError naming the first key nobody asked for.
  void finish() const;
  /// @throws SettingsError at the line of `key`.
  [[noreturn]] void fail(const std::string& key, const std::string& what) const;

 private:
  const toml::node* find(const std::string& key);
  std::size_t line_of(const std::string& key) const;

  std::shared_ptr<const toml::table> root_;
  const toml::table* table_;  ///< in root_; nullptr for an absent table
  std::string file_;
  std::string path_;
  std::set<std::string> known_;
};

/// Parses a file. @throws SettingsError when it is missing or not TOML.
SettingsTable read_settings_file(const std::string& file);
/// Parses text that came from elsewhere; `name` stands for the file in messages.
SettingsTable parse_settings(const std::string& content, const std::string& name);

}  // namespace sailgate::node

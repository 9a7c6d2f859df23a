#include "node/node_settings.hpp"

#include <stdexcept>

#include "base/digest.hpp"
#include "node/settings_reader.hpp"

namespace sailgate::node {
namespace {

constexpr std::int64_t kHighestPort = 65535;

Address address_of(SettingsTable& table, const std::string& key, const std::string& text) {
  try {
    return parse_address(text);
  } catch (const std::invalid_argument& error) {
    table.fail(key, error.what());
  }
}

wire::TargetKind::type kind_of(SettingsTable& table, const std::string& text) {
  if (text == "engine") return wire::TargetKind::kEngine;
  if (text == "application") return wire::TargetKind::kApplication;
  if (text == "tool") return wire::TargetKind::kTool;
  table.fail("kind", "must be engine, application or tool");
}

scheduling::Backend read_backend(SettingsTable& table) {
  scheduling::Backend backend;
  backend.id = table.required_text("address");
  address_of(table, "address", backend.id);
  backend.kind = kind_of(table, table.required_text("kind"));
  backend.zone = table.text("zone", "");
  backend.capacity = static_cast<std::int32_t>(table.integer("capacity", 16, 1, 100'000));
  for (const auto& target : table.texts("serves")) backend.targets.insert(target);
  if (backend.targets.empty()) table.fail("serves", "must name at least one target");
  table.finish();
  return backend;
}

std::string read_public_key(SettingsTable& table) {
  constexpr std::size_t kKeyBytes = 32;
  try {
    auto key = base::from_hex(table.required_text("public_key"));
    if (key.size() == kKeyBytes) return key;
  } catch (const std::invalid_argument&) {
    // Answered below, as a key of the wrong length.
  }
  table.fail("public_key", "must be 32 bytes in hexadecimal");
}

void read_knobs(SettingsTable table, base::Knobs& knobs) {
  constexpr std::int64_t kDay = 86'400'000;
  const auto duration = [&table](const std::string& key, base::Millis& value) {
    value = table.integer(key, value, 1, kDay);
  };
  duration("sweep_interval_ms", knobs.sweep_interval);
  duration("store_timeout_ms", knobs.store_timeout);
  duration("eviction_interval_ms", knobs.eviction_interval);
  duration("gateway_check_interval_ms", knobs.gateway_check_interval);
  duration("idle_limit_ms", knobs.idle_limit);
  duration("retention_ms", knobs.retention);
  duration("configuration_lease_ms", knobs.configuration_lease);
  duration("configuration_poll_ms", knobs.configuration_poll);
  knobs.family_parts =
      static_cast<std::int32_t>(table.integer("family_parts", knobs.family_parts, 1, 65'536));
  knobs.parts_per_sweep =
      static_cast<std::int32_t>(table.integer("parts_per_sweep", knobs.parts_per_sweep, 1, 65'536));
  if (knobs.configuration_poll >= knobs.configuration_lease) {
    table.fail("configuration_poll_ms", "must be less than configuration_lease_ms");
  }
  table.finish();
}

}  // namespace

Address parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  const auto problem = std::invalid_argument("must be HOST:PORT");
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) throw problem;
  const auto digits = text.substr(colon + 1);
  const bool numeric = digits.find_first_not_of("0123456789") == std::string::npos;
  if (!numeric || digits.size() > 5) throw problem;
  const auto port = std::stol(digits);
  if (port < 1 || port > kHighestPort) throw problem;
  return {text.substr(0, colon), static_cast<std::int32_t>(port)};
}

NodeSettings read_node_settings(const std::string& file) {
  auto table = read_settings_file(file);
  NodeSettings settings;
  settings.host = table.required_text("host");
  settings.zone = table.required_text("zone");
  settings.http_port =
      static_cast<std::int32_t>(table.integer("http_port", settings.http_port, 1, kHighestPort));
  settings.http_workers = static_cast<std::size_t>(table.integer("http_workers", 64, 1, 4096));
  settings.table_service = table.required_text("table_service");
  address_of(table, "table_service", settings.table_service);
  settings.machine_list = table.text("machine_list", "");
  if (!settings.machine_list.empty()) address_of(table, "machine_list", settings.machine_list);
  for (auto& backend : table.tables("backends")) {
    settings.backends.push_back(read_backend(backend));
  }
  for (auto& partner : table.tables("partners")) {
    const auto name = partner.required_text("name");
    settings.partner_keys[name] = read_public_key(partner);
    partner.finish();
  }
  read_knobs(table.table("knobs"), settings.knobs);
  table.finish();
  return settings;
}

}  // namespace sailgate::node

#include "node/bundle_file.hpp"

#include "base/digest.hpp"
#include "configuration/bundle_check.hpp"
#include "node/settings_reader.hpp"
#include "wire/codec.hpp"

namespace sailgate::node {
namespace {

constexpr std::int64_t kHighestVersion = 1'000'000'000;
constexpr std::int64_t kHighestPriority = 100;
constexpr std::int64_t kMostTokens = 1'000'000'000;
constexpr std::int64_t kMostCalls = 100'000;
constexpr std::size_t kTokenHashLength = 32;

wire::TenantRule read_tenant(SettingsTable& table) {
  wire::TenantRule rule;
  rule.name = table.required_text("name");
  rule.token_hashes = table.texts("token_hashes");
  for (const auto& hash : rule.token_hashes) {
    if (hash.size() != kTokenHashLength) {
      table.fail("token_hashes", "must be BLAKE2b-128 digests in hexadecimal");
    }
  }
  table.finish();
  return rule;
}

wire::ProgramRule read_program(SettingsTable& table) {
  wire::ProgramRule rule;
  rule.kind = table.required_text("kind");
  rule.priority = static_cast<std::int32_t>(table.integer("priority", 0, 0, kHighestPriority));
  rule.budget_limit_tokens = table.integer("budget_limit_tokens", kMostTokens, 0, kMostTokens);
  rule.call_limit =
      static_cast<std::int32_t>(table.integer("call_limit", kMostCalls, 1, kMostCalls));
  table.finish();
  return rule;
}

wire::Reservation read_reservation(SettingsTable& table) {
  wire::Reservation reservation;
  reservation.model = table.required_text("model");
  reservation.kind = table.required_text("kind");
  reservation.share_percent = static_cast<std::int32_t>(table.integer("share_percent", 0, 1, 100));
  table.finish();
  return reservation;
}

wire::PlacementWish read_placement(SettingsTable& table) {
  wire::PlacementWish wish;
  wish.kind = table.required_text("kind");
  wish.zones = table.texts("zones");
  table.finish();
  return wish;
}

}  // namespace

wire::Bundle read_bundle_file(const std::string& file) {
  auto table = read_settings_file(file);
  wire::Bundle bundle;
  bundle.partner = table.required_text("partner");
  if (!table.has("version")) table.fail("version", "is missing");
  bundle.version = table.integer("version", 0, 1, kHighestVersion);
  for (auto& entry : table.tables("tenants")) bundle.tenants.push_back(read_tenant(entry));
  for (auto& entry : table.tables("programs")) bundle.programs.push_back(read_program(entry));
  for (auto& entry : table.tables("reservations")) {
    bundle.reservations.push_back(read_reservation(entry));
  }
  for (auto& entry : table.tables("placements")) {
    bundle.placements.push_back(read_placement(entry));
  }
  table.finish();
  const auto problem = configuration::validate_bundle(bundle);
  if (!problem.empty()) table.fail("bundle", problem);
  return bundle;
}

std::string to_text(const wire::SignedBundle& signed_bundle) {
  return base::to_hex(wire::encode(signed_bundle));
}

wire::SignedBundle from_text(const std::string& text) {
  return wire::decode<wire::SignedBundle>(base::from_hex(text));
}

}  // namespace sailgate::node

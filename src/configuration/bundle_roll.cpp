#include "configuration/bundle_roll.hpp"

#include <algorithm>

#include "base/refusal.hpp"
#include "configuration/bundle_check.hpp"
#include "wire/codec.hpp"

namespace sailgate::configuration {

namespace {

using Kind = wire::ErrorKind;

constexpr const char* kTable = "configuration";
constexpr const char* kKey = "in-force";

std::string describe_active(const wire::Configuration& active) {
  auto text = "generation " + std::to_string(active.generation) + " is active";
  if (active.bundles.empty()) return text;
  const auto& newest = active.bundles.back();
  return text + ", written by version " + std::to_string(newest.version) + " of partner " +
         newest.partner;
}

}  // namespace

store::RangeRead configuration_range() {
  store::RangeRead range;
  range.table = kTable;
  range.from_key = kKey;
  range.limit = 1;
  return range;
}

wire::Configuration configuration_from_rows(const std::vector<store::Row>& rows) {
  if (rows.empty() || rows.front().id.key != kKey) return {};
  return wire::decode<wire::Configuration>(rows.front().value);
}

BundleRollout::BundleRollout(wire::SignedBundle signed_bundle, const PartnerKeys& keys)
    : signed_bundle_(std::move(signed_bundle)), keys_(keys) {}

void BundleRollout::load(std::vector<store::Row> rows) {
  active_ = configuration_from_rows(rows);
  version_ = rows.empty() ? 0 : rows.front().version;
}

void BundleRollout::refuse(wire::ErrorKind::type kind, const std::string& detail) {
  refusal_ = base::make_refusal(kind);
  refusal_->detail = detail;
}

std::optional<store::Transaction> BundleRollout::evaluate() {
  refusal_.reset();
  const auto& bundle = signed_bundle_.bundle;
  auto problem = verify_signatures(signed_bundle_, keys_);
  if (problem.empty()) problem = validate_bundle(bundle);
  if (!problem.empty()) {
    refuse(Kind::kBundleRefused, problem);
    return std::nullopt;
  }
  // Idempotent: an operator who did not receive the response rolls out the same bundle again.
  const auto& bundles = active_.bundles;
  if (std::find(bundles.begin(), bundles.end(), bundle) != bundles.end()) {
    next_ = active_;
    return std::nullopt;
  }
  if (bundle.builds_on != active_.generation) {
    refuse(Kind::kBundleConflict, describe_active(active_));
    return std::nullopt;
  }
  problem = validate_in_configuration(bundle, active_);
  if (!problem.empty()) {
    refuse(Kind::kBundleRefused, problem);
    return std::nullopt;
  }
  next_ = apply_bundle(active_, bundle);
  store::Transaction transaction;
  const store::RowId id{kTable, "", kKey};
  transaction.conditions.push_back({id, version_});
  store::Row row;
  row.id = id;
  row.value = wire::encode(next_);
  transaction.puts.push_back(std::move(row));
  return transaction;
}

void BundleRollout::written(std::int64_t version) { version_ = version; }

}  // namespace sailgate::configuration

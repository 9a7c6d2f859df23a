/// @file Putting a signed bundle in force: a conditional write of the configuration's row, which
/// decides between operators who race.
#pragma once

#include "configuration/signing.hpp"
#include "store/optimistic_update.hpp"

namespace sailgate::configuration {

/// The one row that holds the configuration.
store::RangeRead configuration_range();
/// @throws std::exception when the row cannot be read. No row is generation 0.
wire::Configuration configuration_from_rows(const std::vector<store::Row>& rows);

/// Subject of store::OptimisticUpdate. Not thread-safe.
class BundleRollout : public store::UpdateSubject {
 public:
  BundleRollout(wire::SignedBundle signed_bundle, const PartnerKeys& keys);

  void load(std::vector<store::Row> rows) override;
  std::optional<store::Transaction> evaluate() override;
  void written(std::int64_t version) override;

  /// Why the bundle was not taken; not set when it is stored.
  const std::optional<wire::Refusal>& refusal() const { return refusal_; }
  /// The configuration that the bundle is part of, when it was taken.
  const wire::Configuration& configuration() const { return next_; }

 private:
  void refuse(wire::ErrorKind::type kind, const std::string& detail);

  wire::SignedBundle signed_bundle_;
  const PartnerKeys& keys_;
  wire::Configuration in_force_;
  wire::Configuration next_;
  std::int64_t version_ = 0;
  std::optional<wire::Refusal> refusal_;
};

}  // namespace sailgate::configuration

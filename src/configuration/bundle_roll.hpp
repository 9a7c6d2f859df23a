/// @file Activation of a signed bundle by a conditional write of the configuration row. If several
/// operators roll out bundles concurrently, exactly one write succeeds.
#pragma once

#include "configuration/signing.hpp"
#include "store/optimistic_update.hpp"

namespace sailgate::configuration {

/// Range that contains only the configuration row.
store::RangeRead configuration_range();
/// Decodes the configuration row; without a row the result is generation 0.
/// @throws std::exception if the row cannot be decoded.
wire::Configuration configuration_from_rows(const std::vector<store::Row>& rows);

/// Validates a bundle and adds it to the configuration, as the subject of a
/// store::OptimisticUpdate. Rolling out an already active bundle again succeeds without a write.
/// Not thread-safe.
class BundleRollout : public store::UpdateSubject {
 public:
  BundleRollout(wire::SignedBundle signed_bundle, const PartnerKeys& keys);

  void load(std::vector<store::Row> rows) override;
  std::optional<store::Transaction> evaluate() override;
  void written(std::int64_t version) override;

  /// Reason why the bundle was rejected; empty if it was stored or already active.
  const std::optional<wire::Refusal>& refusal() const { return refusal_; }
  /// Configuration that contains the bundle; valid only if there is no refusal.
  const wire::Configuration& configuration() const { return next_; }

 private:
  void refuse(wire::ErrorKind::type kind, const std::string& detail);

  wire::SignedBundle signed_bundle_;
  const PartnerKeys& keys_;
  wire::Configuration active_;
  wire::Configuration next_;
  std::int64_t version_ = 0;
  std::optional<wire::Refusal> refusal_;
};

}  // namespace sailgate::configuration

/// @file Which nodes may be serving under which configuration generation, as the authority knows.
///
/// The authority is the leader of slot 0, whose journal holds the configuration.
///  1. Every node asks it for a lease again and again, stating the generation it serves under, and
///     stops serving when its lease lapses. A lease counts from the time the node asked.
///  2. An accepted bundle is answered only when each node that may hold a lease has stated the new
///     generation, or its lease has lapsed by the authority's clock with a margin for drift.
///  3. A new authority does not know its predecessor's leases: it waits one lease time first.
#pragma once

#include <cstdint>
#include <map>

#include "base/knobs.hpp"

namespace sailgate::configuration {

/// Rules a proof may replace.
class LeaseRules {
 public:
  LeaseRules() = default;
  LeaseRules(const LeaseRules&) = delete;
  LeaseRules& operator=(const LeaseRules&) = delete;
  virtual ~LeaseRules() = default;

  /// An accepted bundle may be answered only once no older lease can be live.
  virtual bool wait_for_leases() const { return true; }
  /// A node serves only while its lease is live.
  virtual bool lease_live(base::Millis now, base::Millis until) const { return now < until; }
};

/// Not thread-safe.
class LeaseTable {
 public:
  explicit LeaseTable(const base::Knobs& knobs) : knobs_(knobs) {}

  /// This node became the authority.
  void begin(base::Millis now);
  void renewed(std::int64_t member, std::int64_t generation, base::Millis now);
  /// Whether no node can be serving under a generation older than this one.
  bool in_force_everywhere(std::int64_t generation, base::Millis now) const;

 private:
  struct Lease {
    std::int64_t generation = 0;
    base::Millis until = 0;
  };
  base::Millis longest() const;

  const base::Knobs& knobs_;
  base::Millis unknown_until_ = 0;
  std::map<std::int64_t, Lease> leases_;
};

}  // namespace sailgate::configuration

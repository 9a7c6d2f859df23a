/// @file Detects whether the engines of another zone can be reached, from contacts with the whole
/// zone.
///
/// Without it, when a zone is cut off, each node would have to run into a timeout at every engine
/// there while callers wait.
#pragma once

#include <map>
#include <string>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Contacts are messages from the zone's nodes, responses of its engines and connections
/// established to them. Deterministic, not thread-safe.
class ZoneReachability {
 public:
  /// Records a contact with the zone at the given time.
  void record_contact(const std::string& zone, net::TimePoint at);
  /// False if a known zone has had no contact for some time. Its engines then rank last but stay
  /// eligible, because all nodes of a zone can be down while its engines work.
  bool reachable(const std::string& zone, net::TimePoint now) const;
  /// Time since the last contact; 0 for an unknown zone.
  net::Millis silent_for(const std::string& zone, net::TimePoint now) const;
  /// Whether to open a probe connection to one of the zone's engines now. Returning true counts as
  /// a probe.
  bool should_probe(const std::string& zone, net::TimePoint now);

 private:
  struct Zone {
    net::TimePoint last_contact{};
    net::TimePoint probed_at{};
  };

  std::map<std::string, Zone> zones_;
};

}  // namespace sailgate::balancing

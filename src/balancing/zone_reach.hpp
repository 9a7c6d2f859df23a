/// @file Whether the engines of another zone can be reached, from signs of the whole zone.
///
/// Answers a zone that is cut off: without it each node finds out by a time-out of its own at each
/// engine there, with callers waiting.
#pragma once

#include <map>
#include <string>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Signs are news of the zone's nodes, answers of its engines and connections that came up there.
/// Deterministic, not thread-safe.
class ZoneReachability {
 public:
  /// Something of the zone was heard at that time.
  void record_contact(const std::string& zone, net::TimePoint at);
  /// False when a zone that was heard has been silent for a while. Its engines come last then; they
  /// are not given up, since all its nodes may be down while its engines are well.
  bool reachable(const std::string& zone, net::TimePoint now) const;
  /// Time since the last sign of a zone; 0 for one that was never heard.
  net::Millis silent_for(const std::string& zone, net::TimePoint now) const;
  /// Whether to try a connection to one of its engines now. Each answer of true counts as a try.
  bool should_probe(const std::string& zone, net::TimePoint now);

 private:
  struct Zone {
    net::TimePoint newest_sign{};
    net::TimePoint tried_at{};
  };

  std::map<std::string, Zone> zones_;
};

}  // namespace sailgate::balancing

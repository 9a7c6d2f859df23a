/// @file Tokens that this node has reserved for turns that other nodes run.
///
/// Messages get lost and overtake each other. Each reservation has a name, so that its end can be
/// told repeatedly and settles it once, also when it comes before the reservation is made.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// Unique over all nodes.
using ReservationId = std::int64_t;

struct Reservation {
  std::string program;
  std::int64_t tokens = 0;
};

/// Deterministic, no I/O, not thread-safe.
class OpenReservations {
 public:
  /// @return false: the reservation has ended already, nothing may stay reserved for it.
  bool open(ReservationId id, Reservation reservation, net::TimePoint now);
  /// The end of a reservation was told.
  /// @return what is to be settled; nullopt: it was settled before, or is not made yet.
  std::optional<Reservation> close(ReservationId id, net::TimePoint now);

  std::size_t count() const { return open_.size(); }
  /// Ends that are remembered.
  std::size_t ended_count() const { return ended_.size(); }

 private:
  struct Ended {
    ReservationId id = 0;
    net::TimePoint at{};
  };

  void prune_ended(net::TimePoint now);

  std::unordered_map<ReservationId, Reservation> open_;
  std::unordered_set<ReservationId> ended_;
  std::deque<Ended> by_age_;
};

}  // namespace sailgate::cluster

/// @file Token reservations held by this node for turns that run on other nodes.
///
/// Messages may be lost or reordered. Each reservation has an ID, so that closing it is idempotent
/// and works even if the close message arrives before the reservation is made.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// Unique across all nodes.
using ReservationId = std::int64_t;

struct Reservation {
  std::string program;
  std::int64_t tokens = 0;
};

/// Deterministic, no I/O, not thread-safe.
class OpenReservations {
 public:
  /// @return false if the reservation was already closed; its tokens must then be released.
  bool open(ReservationId id, Reservation reservation, net::TimePoint now);
  /// Closes a reservation.
  /// @return the reservation to settle; nullopt if it was settled before or is not yet made.
  std::optional<Reservation> close(ReservationId id, net::TimePoint now);

  std::size_t count() const { return open_.size(); }
  /// Number of closed reservations whose IDs are still kept.
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

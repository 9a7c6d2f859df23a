#include "cluster/open_reservations.hpp"

#include <utility>

namespace sailgate::cluster {

namespace {

/// Longer than a request can wait in the sockets of a stalled process while the close message of
/// its turn overtakes it.
constexpr net::Millis kEndedRetention{std::chrono::seconds(60)};

}  // namespace

bool OpenReservations::open(ReservationId id, Reservation reservation, net::TimePoint now) {
  prune_ended(now);
  if (ended_.count(id) > 0) return false;
  open_.emplace(id, std::move(reservation));
  return true;
}

std::optional<Reservation> OpenReservations::close(ReservationId id, net::TimePoint now) {
  prune_ended(now);
  if (ended_.insert(id).second) by_age_.push_back({id, now});
  const auto found = open_.find(id);
  if (found == open_.end()) return std::nullopt;
  auto reservation = std::move(found->second);
  open_.erase(found);
  return reservation;
}

void OpenReservations::prune_ended(net::TimePoint now) {
  while (!by_age_.empty() && now >= by_age_.front().at + kEndedRetention) {
    ended_.erase(by_age_.front().id);
    by_age_.pop_front();
  }
}

}  // namespace sailgate::cluster

#include "cluster/open_reservations.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using cluster::OpenReservations;

namespace {

constexpr cluster::ReservationId kId = 7;
const cluster::Reservation kReservation{"program", 588};
const net::TimePoint kStart{};

}  // namespace

TEST_CASE("closing a reservation settles it once", "[cluster][reservations]") {
  OpenReservations reservations;
  REQUIRE(reservations.open(kId, kReservation, kStart));
  REQUIRE(reservations.count() == 1);
  const auto closed = reservations.close(kId, kStart);
  REQUIRE(closed);
  REQUIRE(closed->program == "program");
  REQUIRE(closed->tokens == 588);
  REQUIRE_FALSE(reservations.close(kId, kStart));
  REQUIRE(reservations.count() == 0);
}

TEST_CASE("nothing stays reserved if the close arrives before the reservation",
          "[cluster][reservations]") {
  OpenReservations reservations;
  REQUIRE_FALSE(reservations.close(kId, kStart));
  REQUIRE_FALSE(reservations.open(kId, kReservation, kStart + net::Millis(800)));
  REQUIRE(reservations.count() == 0);
}

TEST_CASE("closed reservation IDs are removed after their retention period",
          "[cluster][reservations]") {
  OpenReservations reservations;
  constexpr int kSeconds = 1000;
  for (int second = 0; second < kSeconds; ++second) {
    reservations.close(second, kStart + std::chrono::seconds(second));
  }
  REQUIRE(reservations.ended_count() <= 61);
}

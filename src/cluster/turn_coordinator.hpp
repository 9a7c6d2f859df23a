/// @file Budgets and histories of programs, through the program's home.
///
/// The home of a program is the owner of its shard (ledger/escrow_shard.hpp), or, while there is
/// none, one node of the zone, by rendezvous over the live ones. It holds the program's tokens and
/// its last turns in memory, so that most turns need no call to the store at their start. The home
/// is a hint: when it does not answer, this node does the same by itself from
/// the store, where only the rows decide.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "balancing/line_placements.hpp"
#include "base/mechanisms.hpp"
#include "base/random.hpp"
#include "cluster/beacon_sender.hpp"
#include "cluster/open_reservations.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/store_relay.hpp"
#include "ledger/program_ledger.hpp"
#include "net/http_client.hpp"
#include "observe/structured_log.hpp"
#include "tenancy/state_key.hpp"

namespace sailgate::cluster {

/// What a turn needs before it starts.
struct TurnRequest {
  tenancy::StateKey program;
  std::string line;            ///< line of turns within the program
  tenancy::StateKey previous;  ///< empty: the turn goes on from none
  std::int64_t tokens = 0;     ///< to reserve; 0: none
  std::int64_t budget = 0;
};

struct TurnStart {
  ledger::LookupOutcome lookup = ledger::LookupOutcome::kFound;
  ledger::TurnPointer previous;
  ledger::ReserveOutcome reservation = ledger::ReserveOutcome::kReserved;
  std::int64_t reserved = 0;     ///< tokens; fewer than asked for while the store is away
  std::string engine;            ///< ran the line's last turn; empty: not known
  std::string reservation_node;  ///< node that keeps the reservation; empty: this one
  std::int64_t reservation_node_incarnation = 0;
  ReservationId reservation_id = 0;  ///< at the reservation_node
};

/// What is known of a turn when it has ended.
struct TurnEnd {
  tenancy::StateKey program;
  std::string line;
  std::int64_t reserved = 0;  ///< tokens
  std::int64_t used = 0;      ///< tokens
  ledger::TurnPointer turn;   ///< the finished turn, for the home's cache; nullptr: none
  std::string engine;         ///< ran the turn whole; empty: none
};

/// Not thread-safe: belongs to the event loop.
class TurnCoordinator {
 public:
  TurnCoordinator(net::asio::io_context& context, ledger::ProgramLedger& ledger,
                  PeerDirectory& directory, PeerClients& clients, const BeaconSender& beacons,
                  const StoreRelay& store, const base::Mechanisms& mechanisms,
                  observe::StructuredLog& log, std::uint64_t seed)
      : context_(context),
        ledger_(ledger),
        directory_(directory),
        clients_(clients),
        beacons_(beacons),
        store_(store),
        mechanisms_(mechanisms),
        log_(log),
        random_(seed) {}

  net::asio::awaitable<TurnStart> begin(TurnRequest request, net::TimePoint deadline);
  void end(const TurnEnd& end, const TurnStart& start);

  /// Calls of other nodes. @throws std::exception when a message cannot be read.
  net::asio::awaitable<net::TextResponse> serve(net::TextRequest request);
  /// Reservations held here for turns that other nodes run.
  std::size_t open_reservations() const { return reservations_.count(); }

 private:
  /// What the other holders of a program's tokens said.
  struct ReclaimResult {
    bool released = false;     ///< some gave tokens back
    bool all_answered = true;  ///< of those that live
  };

  /// Node that keeps the program's tokens; nullopt: this one.
  std::optional<Peer> home_of(const std::string& program) const;
  net::asio::awaitable<TurnStart> begin_locally(TurnRequest request, net::TimePoint deadline);
  /// Reserves tokens for a turn and notes in `start` how that ended.
  net::asio::awaitable<void> reserve(const TurnRequest& request, net::TimePoint deadline,
                                     TurnStart& start);
  /// Reserves all tokens, those included that other holders do not use.
  net::asio::awaitable<ledger::ReserveOutcome> reserve_full(const TurnRequest& request,
                                                            net::TimePoint deadline);
  /// Whether this node can say that the program's budget is exhausted.
  bool has_full_budget_view(const std::string& program) const;
  /// Asks the other holders of a program's tokens for what they do not use.
  net::asio::awaitable<ReclaimResult> reclaim_unused_tokens(std::string program);
  net::asio::awaitable<bool> begin_remotely(Peer home, const TurnRequest& request,
                                            net::TimePoint deadline, TurnStart& start);
  net::asio::awaitable<void> end_remotely(Peer home, wire::EndTurn message);
  /// Tells a home the end of a named reservation until it has heard it, at most for a minute.
  /// @return its answer; nullopt: it was not heard.
  net::asio::awaitable<std::optional<net::http::status>> close_remotely(Peer home,
                                                                        wire::EndTurn message);
  void log_undelivered_end(const Peer& home, const wire::EndTurn& message);
  net::asio::awaitable<void> serve_begin(const net::TextRequest& request,
                                         net::TextResponse& response);
  /// The end of a reservation without a name, which is told once.
  void serve_end(const net::TextRequest& request);
  /// The end of a named reservation, which may be told repeatedly.
  void serve_close(const net::TextRequest& request);
  void record_end(const wire::EndTurn& message);

  net::asio::io_context& context_;
  ledger::ProgramLedger& ledger_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  const BeaconSender& beacons_;
  const StoreRelay& store_;
  const base::Mechanisms& mechanisms_;
  observe::StructuredLog& log_;
  /// Programs whose engines are remembered: about 200 bytes each.
  static constexpr std::size_t kMaxPlacements = 20'000;
  balancing::LinePlacements placements_{kMaxPlacements};  ///< of programs whose home this node is
  base::Random random_;
  OpenReservations reservations_;
};

}  // namespace sailgate::cluster

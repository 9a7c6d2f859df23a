/// @file Token reservations and turn histories of programs, coordinated through each program's home
/// node.
///
/// The home of a program is the owner of its shard (ledger/escrow_shard.hpp) or, if there is none,
/// a live node of the zone chosen by rendezvous hashing. It keeps the program's tokens and last
/// turns in memory, so that most turns can start without a call to the store. The home is only an
/// optimization: if it does not answer, this node does the same work from the store, whose rows are
/// authoritative.
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

/// Input for starting a turn.
struct TurnRequest {
  tenancy::StateKey program;
  std::string line;            ///< line of turns within the program
  tenancy::StateKey previous;  ///< empty if the turn continues no other
  std::int64_t tokens = 0;     ///< to reserve; 0: none
  std::int64_t budget = 0;
};

struct TurnStart {
  ledger::LookupOutcome lookup = ledger::LookupOutcome::kFound;
  ledger::TurnPointer previous;
  ledger::ReserveOutcome reservation = ledger::ReserveOutcome::kReserved;
  std::int64_t reserved = 0;     ///< tokens; all that the turn may generate, or none
  std::string engine;            ///< engine that ran the line's last turn; empty if unknown
  std::string reservation_node;  ///< node that holds the reservation; empty for this one
  std::int64_t reservation_node_incarnation = 0;
  ReservationId reservation_id = 0;  ///< at the reservation node
};

/// Result of a finished turn.
struct TurnEnd {
  tenancy::StateKey program;
  std::string line;
  std::int64_t reserved = 0;  ///< tokens
  std::int64_t used = 0;      ///< tokens
  ledger::TurnPointer turn;   ///< the finished turn, for the home's cache; nullptr if none
  std::string engine;         ///< engine that ran the whole turn; empty if none did
};

/// Not thread-safe; used from the event loop only.
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

  /// Handles calls of other nodes. @throws std::exception if a message cannot be decoded.
  net::asio::awaitable<net::TextResponse> serve(net::TextRequest request);
  /// Reservations held here for turns that other nodes run.
  std::size_t open_reservations() const { return reservations_.count(); }

 private:
  /// Answers of the other holders of a program's tokens.
  struct ReclaimResult {
    bool released = false;     ///< at least one returned tokens
    bool all_answered = true;  ///< all live holders answered
  };

  /// Home node of the program; nullopt if it is this one.
  std::optional<Peer> home_of(const std::string& program) const;
  net::asio::awaitable<TurnStart> begin_locally(TurnRequest request, net::TimePoint deadline);
  /// Reserves all tokens that the turn may generate, or none, and stores the outcome in `start`.
  net::asio::awaitable<void> reserve(const TurnRequest& request, net::TimePoint deadline,
                                     TurnStart& start);
  /// Reserves tokens, drawing on the budget's rows and on unused tokens of other holders if needed.
  net::asio::awaitable<ledger::ReserveOutcome> reserve_from_store(const TurnRequest& request,
                                                                  net::TimePoint deadline);
  /// Ends a reservation held here.
  void settle(const std::string& program, std::int64_t reserved, std::int64_t used);
  /// Requests tokens for the program's next turn while the store answers.
  void raise_ahead(const std::string& program);
  /// Whether this node can decide that the program's budget is exhausted.
  bool has_full_budget_view(const std::string& program) const;
  /// Asks the other holders of a program's tokens to return unused ones.
  net::asio::awaitable<ReclaimResult> reclaim_unused_tokens(std::string program);
  net::asio::awaitable<bool> begin_remotely(Peer home, const TurnRequest& request,
                                            net::TimePoint deadline, TurnStart& start);
  net::asio::awaitable<void> end_remotely(Peer home, wire::EndTurn message);
  /// Closes a reservation at its home, retrying until the home answers, for at most one minute.
  /// @return the status of the answer; nullopt if there was none.
  net::asio::awaitable<std::optional<net::http::status>> close_remotely(Peer home,
                                                                        wire::EndTurn message);
  /// Gives a reservation back to its home unused, in the background.
  void return_reservation(const Peer& home, const wire::BeginTurn& begun);
  void log_undelivered_end(const Peer& home, const wire::EndTurn& message);
  net::asio::awaitable<void> serve_begin(const net::TextRequest& request,
                                         net::TextResponse& response);
  /// Handles the end of a turn without a reservation ID; such a message is sent only once.
  void serve_end(const net::TextRequest& request);
  /// Handles the close of a reservation with an ID; such a message may be repeated.
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
  /// Maximum number of programs whose engines are remembered, at about 200 bytes each.
  static constexpr std::size_t kMaxPlacements = 20'000;
  balancing::LinePlacements placements_{kMaxPlacements};  ///< for programs whose home is this node
  base::Random random_;
  OpenReservations reservations_;
};

}  // namespace sailgate::cluster

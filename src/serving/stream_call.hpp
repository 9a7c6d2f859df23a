/// @file A request that is answered by a series of events; a turn of a program, mostly.
#pragma once

#include <optional>
#include <string>

#include "ledger/turn.hpp"
#include "serving/call_handler.hpp"
#include "serving/event_scanner.hpp"
#include "serving/outage_decision.hpp"
#include "serving/stream_timing.hpp"

namespace sailgate::serving {

/// Path of a turn:
///  1. find the turn it goes on from, where the system keeps the history;
///  2. reserve the turn's most tokens in the program's budget;
///  3. pass the engine's events on, whole ones only; resume at another engine where allowed;
///  4. settle the budget, make the turn durable, and only then end the answer.
class StreamCall {
 public:
  StreamCall(NodeState& state, Call& call) : state_(state), call_(call), dispatcher_(state) {}

  net::asio::awaitable<CallEnd> run();

 private:
  /// How the relay of one engine's stream ended.
  enum class RelayOutcome { kComplete, kBroken, kTimedOut, kCallerGone, kReservationSpent };

  net::asio::awaitable<CallEnd> prepare_and_serve();
  net::asio::awaitable<std::optional<CallEnd>> prepare();
  cluster::TurnRequest turn_request() const;
  net::asio::awaitable<CallEnd> refuse_for_store(const char* why);
  /// What is known of this turn and of the store, while the store is away.
  TurnInOutage outage_state() const;
  /// While the store is away: lets the turn begin, has it wait, or refuses it. @return nullopt: it
  /// may begin.
  net::asio::awaitable<std::optional<CallEnd>> handle_store_outage();
  /// Waits until the store is back and it is this turn's time, at most so long. @return nullopt: it
  /// may begin.
  net::asio::awaitable<std::optional<CallEnd>> wait_for_store(net::Millis longest);
  /// How long the caller waits for an event before it leaves.
  net::Millis event_patience() const;
  /// Refuses the first turn of a program while its engines are overloaded. @return nullopt: it may
  /// go on.
  net::asio::awaitable<std::optional<CallEnd>> apply_load_limit();
  net::asio::awaitable<CallEnd> serve();
  net::asio::awaitable<CallEnd> forward_complete_response(EngineExchange& exchange);
  net::asio::awaitable<RelayOutcome> relay(EngineExchange& exchange);
  /// The engine ran the stream whole: its times tell of the engine's speed.
  void record_timings(EngineExchange& exchange, const StreamTiming& timing);
  net::asio::awaitable<bool> forward_events(std::vector<StreamEvent> events,
                                            EngineExchange& exchange);
  net::asio::awaitable<CallEnd> complete();
  /// The turn has generated what was reserved for it and is not over: it ends unfinished.
  net::asio::awaitable<CallEnd> stop_at_reservation();
  net::asio::awaitable<CallEnd> fail(DispatchFailure failure);
  std::int64_t tokens_per_event() const;
  /// Whether so many more events would exceed what was reserved, where that was less than the
  /// turn's most.
  bool exceeds_reservation(std::size_t more_events) const;
  /// Tells the turn's home how it ended. @param turn the finished turn; nullptr: none is kept.
  /// @param engine that ran it whole; empty: none.
  void end_turn(const ledger::TurnPointer& turn, const std::string& engine);

  NodeState& state_;
  Call& call_;
  Dispatcher dispatcher_;
  cluster::TurnStart start_;
  std::string prompt_;
  std::string output_;  ///< data of the events so far, each followed by a line feed
  std::string last_event_id_;
  std::int64_t reserved_tokens_ = 0;  ///< tokens
  bool fully_reserved_ = true;        ///< as many as the turn can generate
  bool turn_ended_ = false;           ///< the turn's keeper was told
  std::int64_t events_ = 0;
  bool response_started_ = false;
  bool first_turn_ = false;    ///< it began a program
  net::Millis store_wait_{0};  ///< waited for the store
};

}  // namespace sailgate::serving

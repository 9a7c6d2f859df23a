/// @file Serves a request whose response is an event stream, usually a turn of a program.
#pragma once

#include <optional>
#include <string>

#include "ledger/turn.hpp"
#include "serving/call_handler.hpp"
#include "serving/event_scanner.hpp"
#include "serving/outage_decision.hpp"
#include "serving/stream_timing.hpp"

namespace sailgate::serving {

/// Steps of a turn:
///  1. look up the previous turn, if the route retains history;
///  2. reserve the turn's maximum output tokens from the program's budget;
///  3. forward complete events from the engine; resume on another engine if the route allows it;
///  4. make the turn durable, settle the budget, and only then end the response.
class StreamCall {
 public:
  StreamCall(NodeState& state, Call& call)
      : state_(state), call_(call), dispatcher_(state), losses_(state) {}

  net::asio::awaitable<CallEnd> run();

 private:
  /// Outcome of forwarding the stream of one engine.
  enum class RelayOutcome { kComplete, kBroken, kTimedOut, kCallerGone };

  net::asio::awaitable<CallEnd> prepare_and_serve();
  net::asio::awaitable<std::optional<CallEnd>> prepare();
  /// For a stream that the caller resumes: finds the software version that began it.
  /// @return nullopt: the version is known, or the stream is new.
  net::asio::awaitable<std::optional<CallEnd>> find_origin();
  /// For a turn that the caller resumes: restores the events that the caller has, which are part of
  /// the turn that is kept.
  /// @return nullopt: they are known, or none are needed.
  net::asio::awaitable<std::optional<CallEnd>> restore_events();
  /// The version of a stream whose caller names no attempt: the one at which its request began. If
  /// nobody knows, the only one of the service since any stream may have begun that is resumed now.
  net::asio::awaitable<std::optional<std::string>> find_only_version();
  /// Makes the events known to the nodes where the caller may resume the turn.
  void share_events(const std::vector<StreamEvent>& events);
  /// Identity of the turn over all attempts of its caller.
  std::string turn_identity() const;
  /// Binds a new stream to the software version of the engine that brought its first event.
  void bind_to_version(const EngineExchange& exchange);
  /// Whether engines of the same version text run the same software: without a text only if no
  /// engine of the service reports a version.
  bool version_known(const std::string& version) const;
  cluster::TurnRequest turn_request() const;
  /// Looks up the previous turn and reserves this turn's tokens; stores the outcome in `start_`.
  net::asio::awaitable<void> begin_turn(const cluster::TurnRequest& request);
  net::asio::awaitable<CallEnd> refuse_for_store(const char* why);
  /// Inputs for deciding what to do with this turn while the store is unavailable.
  TurnInOutage outage_state() const;
  /// Decides whether the turn starts, waits or is refused when the store may be unavailable.
  /// @return nullopt: the turn may start.
  net::asio::awaitable<std::optional<CallEnd>> handle_store_outage();
  /// Waits until the store is available and this turn is next in the queue, or `longest` has
  /// passed.
  /// @return nullopt: the turn may start.
  net::asio::awaitable<std::optional<CallEnd>> wait_for_store(net::Millis longest);
  /// Estimate of how long the caller waits for an event before it disconnects.
  net::Millis event_patience() const;
  /// Refuses the first turn of a program while the engines of its service are overloaded.
  /// @return nullopt: the turn may proceed.
  net::asio::awaitable<std::optional<CallEnd>> apply_load_limit();
  net::asio::awaitable<CallEnd> serve();
  net::asio::awaitable<CallEnd> forward_complete_response(EngineExchange& exchange);
  net::asio::awaitable<RelayOutcome> relay(EngineExchange& exchange);
  /// Records the timing of a stream that one engine ran from start to end as a sample of its speed.
  void record_timings(EngineExchange& exchange, const StreamTiming& timing);
  net::asio::awaitable<bool> forward_events(std::vector<StreamEvent> events,
                                            EngineExchange& exchange);
  net::asio::awaitable<CallEnd> complete();
  net::asio::awaitable<CallEnd> fail(DispatchFailure failure);
  std::int64_t tokens_per_event() const;
  /// Reports the end of the turn to the node that holds its reservation. Only the first call has an
  /// effect.
  /// @param turn the finished turn; nullptr if none is retained.
  /// @param engine engine that completed the turn; empty if none did.
  void end_turn(const ledger::TurnPointer& turn, const std::string& engine);

  NodeState& state_;
  Call& call_;
  Dispatcher dispatcher_;
  LossReporter losses_;
  cluster::TurnStart start_;
  std::string prompt_;
  std::string output_;  ///< data of all events so far, each followed by a line feed
  cluster::EarlierEvents earlier_events_;  ///< of the turn, if its caller resumes it
  std::shared_ptr<cluster::TurnProgressLog::Attempt> shared_events_;
  std::string last_event_id_;
  std::int64_t reserved_tokens_ = 0;
  bool turn_ended_ = false;  ///< the end was reported to the reservation node
  std::int64_t events_ = 0;
  bool response_started_ = false;
  bool origin_known_ = true;  ///< false: the stream cannot go on anywhere else
  bool first_turn_ = false;
  net::Millis store_wait_{0};  ///< time spent waiting for the store
};

}  // namespace sailgate::serving

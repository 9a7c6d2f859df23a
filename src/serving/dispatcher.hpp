/// @file Offers a request to engines until one answers it.
#pragma once

#include <memory>
#include <optional>

#include "serving/call.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

enum class DispatchFailure {
  kNone,
  kNoEngine,        ///< no usable engine was left; none has run the request
  kRefused,         ///< every engine that was asked said that it did not run the request
  kOutcomeUnknown,  ///< an engine may have run it
  kTimedOut,        ///< the deadline passed
  kCallerGone,
};

struct DispatchResult {
  DispatchFailure failure = DispatchFailure::kNone;
  std::unique_ptr<EngineExchange> exchange;  ///< with the head of the answer
};

/// At most one engine works on a request at any time. A request that may have run is offered again
/// only when it is repeatable.
class Dispatcher {
 public:
  explicit Dispatcher(NodeState& state) : state_(state) {}

  /// @param repeatable whether the request may run again.
  /// @param body what the engine is to read; replaces the caller's body.
  /// @param last_event_id where a stream goes on; empty at its start.
  net::asio::awaitable<DispatchResult> dispatch(Call& call, const std::string& body,
                                                bool repeatable, std::string last_event_id);

 private:
  /// How the offer to one engine ended.
  enum class OfferOutcome { kAnswered, kRefused, kNotSent, kBroken, kTimedOut, kAborted };
  struct Offer {
    OfferOutcome end = OfferOutcome::kBroken;
    std::unique_ptr<EngineExchange> exchange;
  };

  net::asio::awaitable<Offer> offer(Call& call, balancing::EnginePointer engine,
                                    const std::string& body, std::string last_event_id);
  net::asio::awaitable<void> finish_refusal(EngineExchange& exchange);
  static std::optional<DispatchFailure> stop_reason(const Call& call);
  void log_broken_exchange(const Call& call, EngineExchange& exchange, OpenOutcome outcome);
  std::shared_ptr<const net::TextRequest> engine_request(const Call& call,
                                                         const balancing::Engine& engine,
                                                         const std::string& body,
                                                         const std::string& last_event_id) const;
  balancing::EnginePointer select(Call& call);
  /// Places of the long prompt's first part; nullptr: it shares none, or placing is switched off.
  const balancing::PromptReplicas* prompt_replicas(const Call& call);
  /// The engine that the attempt is bound to, if it can still be asked; see AttemptBound.
  balancing::EnginePointer required_engine(const std::string& id);
  /// Keeps up which engines may still be working on the attempt.
  static void update_attempt_bound(Call& call, EngineExchange& exchange, OfferOutcome end);
  void record_refusal(EngineExchange& exchange);
  void log_offer(const Call& call, const EngineExchange& exchange, const char* outcome);

  NodeState& state_;
};

/// What it means for a call that its answer could not be read to the end.
DispatchFailure to_dispatch_failure(ReadOutcome outcome);

/// An answer broke off after its head. @param bytes of its body that had come.
void log_broken_response(NodeState& state, const Call& call, const EngineExchange& exchange,
                         std::size_t bytes);

/// An answer broke off: tells by how it did whether its engine may still be working on the attempt.
void record_broken_attempt(Call& call, const EngineExchange& exchange);

/// Marks a failure of an engine: others come first for a while.
void record_engine_failure(NodeState& state, balancing::Engine& engine, const char* what);

/// Whether an engine's answer tells of a fault of the engine.
bool is_engine_failure(unsigned status);

bool is_success(unsigned status);

/// Marks a whole answer of an engine, good or bad by its status.
void record_engine_response(NodeState& state, balancing::Engine& engine, unsigned status);

/// Marks a good answer of an engine.
void record_engine_success(balancing::Engine& engine);

}  // namespace sailgate::serving

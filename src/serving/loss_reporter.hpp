/// @file Finds out what became of an engine under a request, and whether the request may go on.
#pragma once

#include "serving/call.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Keeps a request that ends engines from reaching further ones, see cluster::RequestLosses. Costs
/// nothing while no exchange breaks.
class LossReporter {
 public:
  explicit LossReporter(NodeState& state) : state_(state) {}

  /// The request is about to be sent to an engine. If engines were lost under it, other nodes know
  /// of the run when this returns; else one of them is told. @return whether it may be sent.
  net::asio::awaitable<bool> record_send(Call& call, balancing::EnginePointer engine);
  /// The engine did not run the request.
  void withdraw_send(Call& call, const balancing::Engine& engine);
  /// The exchange broke after the request was sent. Other nodes know of it when this returns.
  /// @return whether the request may be sent to another engine.
  net::asio::awaitable<bool> report(Call& call, const EngineExchange& exchange);
  /// The engine has been silent for long, so that the request may have ended it. Other nodes are
  /// told in the background. @return whether they did not know of the run yet.
  bool report_silent(Call& call, const EngineExchange& exchange);
  /// The caller left, or the time was over, before the response was complete. Other nodes are told
  /// in the background if the engine may have ended.
  void report_unfinished(Call& call, const EngineExchange& exchange);
  /// The response is complete, so the request did not end its engine.
  void report_success(Call& call, const EngineExchange& exchange);
  /// Whether an engine may get the request. Waits until it is known whether the engines that broke
  /// earlier exchanges have survived, if the deadline permits; else sets the call's `settles_at`.
  net::asio::awaitable<bool> may_send(Call& call);
  /// Whether it is known without asking that no engine may get the request.
  bool is_quarantined(Call& call);

 private:
  /// Whether engines were, or may have been, lost under the request.
  bool is_suspect(Call& call);
  void notify_first_run(Call& call, const balancing::Engine& engine, bool withdrawn);
  void update_copies_in_background(const std::string& fingerprint);
  /// Asks engines for their health whose losses have settled since.
  net::asio::awaitable<void> look_again(Call& call);
  /// @return whether the time was reached with the caller still there.
  net::asio::awaitable<bool> wait_until(Call& call, net::TimePoint time);

  NodeState& state_;
};

}  // namespace sailgate::serving

#include "cluster/turn_coordinator.hpp"

#include <algorithm>

#include "ledger/turn_row.hpp"
#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kBeginPath = "/peer/turns/begin";
constexpr const char* kReleasePath = "/peer/budgets/release";
/// Turn ends without and with a reservation ID use different paths, so that a home that does not
/// know reservation IDs does not settle a repeated message more than once.
constexpr const char* kEndPath = "/peer/turns/end";
constexpr const char* kClosePath = "/peer/turns/close";
/// Time that the home may spend on store calls: this many attempts, within the bounds below.
constexpr int kHomeStoreAttempts = 3;
constexpr net::Millis kMinHomeStoreTime{180};
constexpr net::Millis kMaxHomeStoreTime{800};
/// Time allowed for the home's answer beyond its time for store calls; after that it is bypassed.
constexpr net::Millis kHomeMargin{70};
constexpr net::Millis kEndTimeout{400};
/// Bounds of the exponential backoff between attempts to deliver the end of a turn.
constexpr net::Millis kInitialEndBackoff{50};
constexpr net::Millis kMaxEndBackoff{2000};
/// Time after which delivery is given up. Callers return to a program for about this long; later
/// its tokens are of no use.
constexpr net::Millis kEndRetryTimeout{std::chrono::seconds(60)};
constexpr net::Millis kReleaseTimeout{150};

using ledger::LookupOutcome;
using ledger::ReserveOutcome;

net::Millis time_until(net::TimePoint deadline) {
  return std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
}

/// HTTP status of a holder's answer to a request for its unused tokens.
net::http::status status_of(const ledger::ReleaseResult& result) {
  if (result.released) return net::http::status::ok;
  return result.complete ? net::http::status::no_content : net::http::status::service_unavailable;
}

/// @return nullopt if there was no answer or it cannot be decoded.
std::optional<wire::BeginTurnReply> decode_reply(const net::ExchangeResult& exchange) {
  if (!succeeded(exchange)) return std::nullopt;
  try {
    return wire::decode<wire::BeginTurnReply>(exchange.response.body());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// End message for a turn that used no tokens.
wire::EndTurn unused_turn_end(const wire::BeginTurn& begun) {
  wire::EndTurn end;
  end.program = begun.program;
  end.line = begun.line;
  end.reserved = begun.tokens;
  end.__set_reservation_id(begun.reservation_id);
  return end;
}

bool holds_no_unused_tokens(const net::ExchangeResult& exchange) {
  return exchange.failure == net::ExchangeFailure::kNone &&
         exchange.response.result() == net::http::status::no_content;
}

}  // namespace

net::asio::awaitable<TurnStart> TurnCoordinator::begin_locally(TurnRequest request,
                                                               net::TimePoint deadline) {
  TurnStart start;
  if (mechanisms_.lines) start.engine = placements_.find(request.program.text(), request.line);
  if (!request.previous.empty()) {
    auto found = co_await ledger_.turns.find(request.previous.text(), deadline);
    start.lookup = found.outcome;
    start.previous = std::move(found.turn);
    if (start.lookup != LookupOutcome::kFound) co_return start;
  }
  if (request.tokens > 0) {
    co_await reserve(request, deadline, start);
  }
  co_return start;
}

net::asio::awaitable<void> TurnCoordinator::reserve(const TurnRequest& request,
                                                    net::TimePoint deadline, TurnStart& start) {
  if (store_.answers()) {
    start.reservation = co_await reserve_from_store(request, deadline);
  } else {
    // The caller decides whether to wait for the store.
    const bool reserved =
        ledger_.budgets.reserve_available(request.program.text(), request.tokens, request.budget);
    start.reservation = reserved ? ReserveOutcome::kReserved : ReserveOutcome::kUnavailable;
  }
  if (start.reservation != ReserveOutcome::kReserved) co_return;
  start.reserved = request.tokens;
  raise_ahead(request.program.text());
}

void TurnCoordinator::settle(const std::string& program, std::int64_t reserved, std::int64_t used) {
  ledger_.budgets.settle(program, reserved, used);
  raise_ahead(program);
}

void TurnCoordinator::raise_ahead(const std::string& program) {
  if (store_.answers()) ledger_.budgets.raise_ahead(program);
}

net::asio::awaitable<ReserveOutcome> TurnCoordinator::reserve_from_store(const TurnRequest& request,
                                                                         net::TimePoint deadline) {
  auto outcome = co_await ledger_.budgets.reserve(request.program.text(), request.tokens,
                                                  request.budget, deadline);
  if (outcome != ReserveOutcome::kExhausted) co_return outcome;
  if (ledger_.budgets.recently_exhausted(request.program.text(), request.tokens)) co_return outcome;
  const auto reclaimed = co_await reclaim_unused_tokens(request.program.text());
  if (reclaimed.released) {
    outcome = co_await ledger_.budgets.reserve(request.program.text(), request.tokens,
                                               request.budget, deadline);
  }
  if (outcome != ReserveOutcome::kExhausted) co_return outcome;
  // A live holder that did not answer may have unused tokens.
  if (!reclaimed.all_answered) co_return ReserveOutcome::kUnavailable;
  // The owner of the program's shard may hold escrowed tokens that this node does not know of.
  if (!has_full_budget_view(request.program.text())) co_return ReserveOutcome::kUnavailable;
  ledger_.budgets.mark_exhausted(request.program.text(), request.tokens);
  co_return outcome;
}

bool TurnCoordinator::has_full_budget_view(const std::string& program) const {
  return !ledger_.escrow.enabled() || ledger_.escrow.owns(program);
}

net::asio::awaitable<TurnCoordinator::ReclaimResult> TurnCoordinator::reclaim_unused_tokens(
    std::string program) {
  ReclaimResult reclaimed;
  if (!mechanisms_.gathering) co_return reclaimed;
  const auto holders = ledger_.budgets.other_holders(program);
  for (const auto holder : holders) {
    const auto* peer = directory_.find(holder);
    if (peer == nullptr) continue;
    const Peer target = *peer;
    wire::ReleaseBudget message;
    message.program = program;
    auto call = peer_request(kReleasePath, wire::encode(message));
    const auto http = clients_.get(target);
    const auto exchange = co_await http->exchange(std::move(call), kReleaseTimeout);
    const bool done = succeeded(exchange);
    const bool answered = done || holds_no_unused_tokens(exchange);
    const bool live = directory_.heard(holder, net::Clock::now(), beacons_.silence_limit());
    reclaimed.released = reclaimed.released || done;
    reclaimed.all_answered = reclaimed.all_answered && (answered || !live);
    log_.event("tokens_gathered")
        .with("program", program)
        .with("peer", target.node)
        .with("done", static_cast<int>(done))
        .with("answered", static_cast<int>(answered))
        .with("lives", static_cast<int>(live));
  }
  co_return reclaimed;
}

net::asio::awaitable<bool> TurnCoordinator::begin_remotely(Peer home, const TurnRequest& request,
                                                           net::TimePoint deadline,
                                                           TurnStart& start) {
  wire::BeginTurn message;
  message.program = request.program.text();
  message.line = request.line;
  start.previous = ledger_.turns.cached(request.previous.text());
  if (start.previous == nullptr) message.previous = request.previous.text();
  message.tokens = request.tokens;
  message.budget = request.budget;
  const auto store_time = std::clamp(ledger_.budgets.store_call_timeout() * kHomeStoreAttempts,
                                     kMinHomeStoreTime, kMaxHomeStoreTime);
  const auto timeout =
      std::max(std::min(store_time + kHomeMargin, time_until(deadline)), net::Millis(1));
  message.time_left_ms = static_cast<std::int32_t>(std::min(store_time, timeout).count());
  if (request.tokens > 0) {
    start.reservation_id = random_.identifier();
    message.__set_reservation_id(start.reservation_id);
  }
  const auto http = clients_.get(home);
  auto call = peer_request(kBeginPath, wire::encode(message));
  auto exchange = co_await http->exchange(std::move(call), timeout);
  const auto reply = decode_reply(exchange);
  if (!reply) {
    directory_.suspect(home.node, net::Clock::now());
    log_.event("peer_lost")
        .with("peer", home.node)
        .with("program", request.program.text())
        .with("tokens", request.tokens)
        .with("waited_ms", timeout.count())
        .with("sent", static_cast<int>(exchange.failure != net::ExchangeFailure::kNotSent));
    if (exchange.failure != net::ExchangeFailure::kNotSent && request.tokens > 0) {
      return_reservation(home, message);
    }
    co_return false;
  }
  if (reply->reserved > 0 && reply->reserved < request.tokens) {
    // A home of an earlier version: the turn could not end on so few tokens.
    return_reservation(home, message);
    co_return false;
  }
  start.reservation_node = home.node;
  start.reservation_node_incarnation = home.incarnation;
  start.reservation = static_cast<ReserveOutcome>(reply->reservation);
  start.engine = reply->engine;
  start.reserved = reply->reserved;
  if (!message.previous.empty()) {
    start.lookup = static_cast<LookupOutcome>(reply->lookup);
    if (start.lookup == LookupOutcome::kFound) {
      start.previous = ledger_.turns.cache_chain(reply->chain, nullptr);
    }
  }
  co_return start.lookup != LookupOutcome::kUnavailable&& start.reservation !=
      ReserveOutcome::kUnavailable;
}

void TurnCoordinator::return_reservation(const Peer& home, const wire::BeginTurn& begun) {
  net::asio::co_spawn(context_, close_remotely(home, unused_turn_end(begun)), net::asio::detached);
}

std::optional<Peer> TurnCoordinator::home_of(const std::string& program) const {
  if (!mechanisms_.homes) return std::nullopt;
  const auto now = net::Clock::now();
  const auto silence = beacons_.silence_limit();
  const bool own = ledger_.escrow.owns(program);
  if (own && ledger_.escrow.may_spend(program)) return std::nullopt;
  const auto shard = ledger::escrow_shard_of(program);
  if (const auto owner = directory_.shard_owner(shard, now, silence)) {
    const bool better = !own || owner->escrow_shards.count(shard) > 0;
    return better ? owner : std::nullopt;
  }
  if (own) return std::nullopt;
  return directory_.home(program, now, silence);
}

net::asio::awaitable<TurnStart> TurnCoordinator::begin(TurnRequest request,
                                                       net::TimePoint deadline) {
  const bool needs_home = request.tokens > 0 || !request.previous.empty();
  if (!needs_home) co_return TurnStart{};
  const auto home = home_of(request.program.text());
  if (home) {
    TurnStart start;
    if (co_await begin_remotely(*home, request, deadline, start)) co_return start;
  }
  co_return co_await begin_locally(std::move(request), deadline);
}

void TurnCoordinator::end(const TurnEnd& end, const TurnStart& start) {
  if (start.reservation_node.empty()) {
    if (end.reserved > 0) settle(end.program.text(), end.reserved, end.used);
    if (!end.engine.empty()) placements_.note(end.program.text(), end.line, end.engine);
    return;
  }
  const auto* peer = directory_.find(start.reservation_node_incarnation);
  if (peer == nullptr) return;  // the tokens reserved there count as used
  wire::EndTurn message;
  message.program = end.program.text();
  message.line = end.line;
  message.reserved = end.reserved;
  if (end.reserved > 0) message.__set_reservation_id(start.reservation_id);
  message.used = end.used;
  message.engine = end.engine;
  if (end.turn != nullptr) message.chain = ledger::encode_chain(*end.turn);
  net::asio::co_spawn(context_, end_remotely(*peer, std::move(message)), net::asio::detached);
}

net::asio::awaitable<std::optional<net::http::status>> TurnCoordinator::close_remotely(
    Peer home, wire::EndTurn message) {
  const auto give_up_at = net::Clock::now() + kEndRetryTimeout;
  auto backoff = kInitialEndBackoff;
  while (directory_.find(home.incarnation) != nullptr && net::Clock::now() < give_up_at) {
    const auto http = clients_.get(home);
    auto call = peer_request(kClosePath, wire::encode(message));
    const auto exchange = co_await http->exchange(std::move(call), kEndTimeout);
    if (exchange.failure == net::ExchangeFailure::kNone) co_return exchange.response.result();
    // Only the first attempt carries the turn for the home's cache, since many retries may be
    // pending at the same time.
    message.chain = {};
    co_await net::sleep_for(context_, backoff);
    backoff = std::min(backoff * 2, kMaxEndBackoff);
  }
  log_undelivered_end(home, message);
  co_return std::nullopt;
}

net::asio::awaitable<void> TurnCoordinator::end_remotely(Peer home, wire::EndTurn message) {
  if (message.__isset.reservation_id) {
    const auto heard = co_await close_remotely(home, message);
    if (heard != net::http::status::not_found) co_return;
  }
  const auto http = clients_.get(home);
  auto call = peer_request(kEndPath, wire::encode(message));
  const auto exchange = co_await http->exchange(std::move(call), kEndTimeout);
  if (!succeeded(exchange)) log_undelivered_end(home, message);
}

void TurnCoordinator::log_undelivered_end(const Peer& home, const wire::EndTurn& message) {
  log_.event("turn_end_untold")
      .with("peer", home.node)
      .with("program", message.program)
      .with("reserved", message.reserved)
      .with("used", message.used);
}

net::asio::awaitable<void> TurnCoordinator::serve_begin(const net::TextRequest& request,
                                                        net::TextResponse& response) {
  const auto message = wire::decode<wire::BeginTurn>(request.body());
  const auto time =
      std::clamp(net::Millis(message.time_left_ms), net::Millis(0), kMaxHomeStoreTime);
  TurnRequest turn;
  turn.program = tenancy::StateKey::from_text(message.program);
  turn.line = message.line;
  turn.previous = tenancy::StateKey::from_text(message.previous);
  turn.tokens = message.tokens;
  turn.budget = message.budget;
  auto start = co_await begin_locally(std::move(turn), net::Clock::now() + time);
  if (start.reserved > 0 && message.__isset.reservation_id) {
    const bool wanted = reservations_.open(message.reservation_id,
                                           {message.program, start.reserved}, net::Clock::now());
    if (!wanted) {
      ledger_.budgets.settle(message.program, start.reserved, 0);
      start.reservation = ReserveOutcome::kUnavailable;
      start.reserved = 0;
    }
  }
  wire::BeginTurnReply reply;
  reply.lookup = static_cast<wire::TurnLookup::type>(start.lookup);
  reply.reservation = static_cast<wire::TurnReservation::type>(start.reservation);
  reply.engine = start.engine;
  reply.reserved = start.reserved;
  if (start.previous != nullptr) reply.chain = ledger::encode_chain(*start.previous);
  response.body() = wire::encode(reply);
}

void TurnCoordinator::record_end(const wire::EndTurn& message) {
  if (!message.engine.empty()) placements_.note(message.program, message.line, message.engine);
  if (!message.chain.segments.empty()) ledger_.turns.cache_chain(message.chain, nullptr);
}

void TurnCoordinator::serve_end(const net::TextRequest& request) {
  const auto message = wire::decode<wire::EndTurn>(request.body());
  if (message.reserved > 0) {
    settle(message.program, message.reserved, message.used);
  }
  record_end(message);
}

void TurnCoordinator::serve_close(const net::TextRequest& request) {
  const auto message = wire::decode<wire::EndTurn>(request.body());
  const auto open = reservations_.close(message.reservation_id, net::Clock::now());
  if (!open) return;
  settle(open->program, open->tokens, message.used);
  record_end(message);
}

net::asio::awaitable<net::TextResponse> TurnCoordinator::serve(net::TextRequest request) {
  net::TextResponse response;
  if (request.target() == kBeginPath) {
    co_await serve_begin(request, response);
  } else if (request.target() == kReleasePath) {
    const auto message = wire::decode<wire::ReleaseBudget>(request.body());
    const auto deadline = net::Clock::now() + kReleaseTimeout;
    response.result(status_of(co_await ledger_.budgets.release(message.program, deadline)));
  } else if (request.target() == kEndPath) {
    serve_end(request);
  } else if (request.target() == kClosePath) {
    serve_close(request);
  } else {
    response.result(net::http::status::not_found);
  }
  co_return response;
}

}  // namespace sailgate::cluster

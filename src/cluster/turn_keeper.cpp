#include "cluster/turn_keeper.hpp"

#include <algorithm>

#include "ledger/turn_row.hpp"
#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kBeginPath = "/peer/turns/begin";
constexpr const char* kReleasePath = "/peer/budgets/release";
constexpr const char* kKeepPath = "/peer/turns/keep";
constexpr const char* kForgetPath = "/peer/turns/forget";
constexpr const char* kEndPath = "/peer/turns/end";
/// A home that answers later than this is passed over.
constexpr net::Millis kHomeTimeout{250};
/// The home's own time at the store, which is part of the answer's.
constexpr net::Millis kHomeStoreTime{180};
constexpr net::Millis kEndTimeout{400};
constexpr net::Millis kReleaseTimeout{150};
/// First try of the store for a finished turn; then its copies go to other nodes.
constexpr net::Millis kFirstWriteTimeout{300};
constexpr net::Millis kLaterWriteTimeout{60};
/// The store counts as failing this long after a failure.
constexpr net::Millis kFailureMemory{400};
constexpr net::Millis kKeepTimeout{200};
/// Copies are asked of this many nodes, and so many must keep one.
constexpr std::size_t kCopiesAsked = 11;
constexpr std::size_t kCopiesNeeded = 4;
constexpr net::Millis kRecordPause{60};
/// A node tries to write its own deferred turns this often, without waiting for earlier tries: a
/// store that was silent leaves those hanging.
constexpr net::Millis kOwnWriteInterval{30};
constexpr int kMostWritesUnderWay = 8;
/// Copies are tried once in so many intervals: their owner comes first.
constexpr int kCopyIntervals = 8;
/// After trouble with the store a turn may be in some node's memory only.
constexpr net::Millis kDeferredDoubt{6000};
/// Longest retention: a process that is older has seen every turn's writers.
constexpr net::Millis kStartDoubt{60'000};

using ledger::LookupOutcome;
using ledger::ReserveOutcome;

net::TextRequest post(const char* path, std::string body) {
  net::TextRequest request;
  request.method(net::http::verb::post);
  request.target(path);
  request.body() = std::move(body);
  return request;
}

net::Millis left_until(net::TimePoint deadline) {
  return std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
}

}  // namespace

std::shared_ptr<net::HttpClient> TurnKeeper::client(const Peer& peer) {
  auto& entry = clients_[peer.node];
  if (entry.http == nullptr || entry.incarnation != peer.incarnation) {
    entry.incarnation = peer.incarnation;
    entry.http = std::make_shared<net::HttpClient>(context_, peer.endpoint);
  }
  return entry.http;
}

net::asio::awaitable<TurnStart> TurnKeeper::begin_here(TurnRequest request,
                                                       net::TimePoint deadline) {
  TurnStart start;
  if (!request.previous.empty()) {
    auto found = co_await ledger_.find_turn(request.previous, deadline);
    start.lookup = found.outcome;
    if (start.lookup == LookupOutcome::kAbsent && !absence_is_certain()) {
      start.lookup = LookupOutcome::kUnavailable;
    }
    start.previous = std::move(found.turn);
    if (start.lookup != LookupOutcome::kFound) co_return start;
  }
  if (request.tokens > 0) {
    start.reservation =
        co_await ledger_.reserve(request.program, request.tokens, request.budget, deadline);
    if (start.reservation == ReserveOutcome::kExhausted &&
        co_await gather_tokens(request.program)) {
      start.reservation =
          co_await ledger_.reserve(request.program, request.tokens, request.budget, deadline);
    }
  }
  co_return start;
}

net::asio::awaitable<bool> TurnKeeper::gather_tokens(std::string program) {
  bool released = false;
  const auto holders = ledger_.other_holders(program);
  for (const auto holder : holders) {
    const auto* peer = directory_.find(holder);
    if (peer == nullptr) continue;
    const Peer target = *peer;
    wire::ReleaseBudget message;
    message.program = program;
    auto call = post(kReleasePath, wire::encode(message));
    const auto http = client(target);
    const auto exchange = co_await http->exchange(std::move(call), kReleaseTimeout);
    const bool done = exchange.failure == net::ExchangeFailure::kNone &&
                      exchange.response.result() == net::http::status::ok;
    released = released || done;
    log_.event("tokens_gathered")
        .with("program", program)
        .with("peer", target.node)
        .with("done", static_cast<int>(done));
  }
  co_return released;
}

net::asio::awaitable<bool> TurnKeeper::begin_at(Peer home, const TurnRequest& request,
                                                net::TimePoint deadline, TurnStart& start) {
  wire::BeginTurn message;
  message.program = request.program;
  start.previous = ledger_.cached_turn(request.previous);
  if (start.previous == nullptr) message.previous = request.previous;
  message.tokens = request.tokens;
  message.budget = request.budget;
  const auto timeout = std::min(kHomeTimeout, left_until(deadline));
  message.time_left_ms = static_cast<std::int32_t>(std::min(kHomeStoreTime, timeout).count());
  const auto http = client(home);
  auto call = post(kBeginPath, wire::encode(message));
  auto exchange = co_await http->exchange(std::move(call), timeout);
  const bool answered = exchange.failure == net::ExchangeFailure::kNone &&
                        exchange.response.result() == net::http::status::ok;
  if (!answered) {
    directory_.suspect(home.node, net::Clock::now());
    log_.event("peer_lost").with("peer", home.node).with("program", request.program);
    co_return false;
  }
  const auto reply = wire::decode<wire::BeginTurnReply>(exchange.response.body());
  start.keeper = home.node;
  start.keeper_incarnation = home.incarnation;
  start.reservation = static_cast<ReserveOutcome>(reply.reservation);
  if (!message.previous.empty()) {
    start.lookup = static_cast<LookupOutcome>(reply.lookup);
    if (start.lookup == LookupOutcome::kFound) {
      start.previous = ledger_.remember_chain(reply.chain, nullptr);
    }
  }
  co_return start.lookup != LookupOutcome::kUnavailable &&
      start.reservation != ReserveOutcome::kUnavailable;
}

net::asio::awaitable<TurnStart> TurnKeeper::begin(TurnRequest request, net::TimePoint deadline) {
  const bool needs_home = request.tokens > 0 || !request.previous.empty();
  if (!needs_home) co_return TurnStart{};
  const auto home =
      directory_.home(request.program, net::Clock::now(), beacons_.silence_limit());
  if (home) {
    TurnStart start;
    if (co_await begin_at(*home, request, deadline, start)) co_return start;
  }
  co_return co_await begin_here(std::move(request), deadline);
}

bool TurnKeeper::absence_is_certain() const {
  const auto now = net::Clock::now();
  const bool old_enough = first_start_ || now - started_at_ > kStartDoubt;
  return old_enough && now - ledger_.last_store_failure() > kDeferredDoubt &&
         ledger_.deferred().size() == 0 &&
         !directory_.any_deferred(now, beacons_.silence_limit());
}

net::asio::awaitable<void> TurnKeeper::replicate_to(
    Peer peer, std::string message, std::shared_ptr<Acknowledgements> acknowledgements) {
  const auto http = client(peer);
  auto call = post(kKeepPath, std::move(message));
  const auto exchange = co_await http->exchange(std::move(call), kKeepTimeout);
  ++acknowledgements->answered;
  const bool kept = exchange.failure == net::ExchangeFailure::kNone &&
                    exchange.response.result() == net::http::status::ok;
  if (kept) ++acknowledgements->kept;
  acknowledgements->changed.cancel();
}

net::asio::awaitable<bool> TurnKeeper::replicate(ledger::TurnPointer turn) {
  const auto peers =
      directory_.spread(kCopiesAsked, net::Clock::now(), beacons_.silence_limit());
  if (peers.size() < kCopiesNeeded) co_return false;
  wire::KeepTurn message;
  message.chain = ledger::encode_whole_chain(*turn);
  const auto bytes = wire::encode(message);
  auto acknowledgements = std::make_shared<Acknowledgements>(context_);
  acknowledgements->asked = peers.size();
  for (const auto& peer : peers) {
    net::asio::co_spawn(context_, replicate_to(peer, bytes, acknowledgements),
                        net::asio::detached);
  }
  while (acknowledgements->kept < kCopiesNeeded &&
         acknowledgements->answered < acknowledgements->asked) {
    net::Error ignored;
    co_await acknowledgements->changed.async_wait(net::awaiting(ignored));
  }
  const bool enough = acknowledgements->kept >= kCopiesNeeded;
  log_.event("turn_deferred")
      .with("turn", turn->id)
      .with("copies", acknowledgements->kept)
      .with("asked", acknowledgements->asked)
      .with("enough", static_cast<int>(enough));
  co_return enough;
}

net::asio::awaitable<bool> TurnKeeper::record(ledger::TurnPointer turn, net::TimePoint deadline) {
  const bool failing = net::Clock::now() - ledger_.last_store_failure() < kFailureMemory;
  auto timeout = failing ? kLaterWriteTimeout : kFirstWriteTimeout;
  while (true) {
    if (co_await ledger_.write_turn(turn, timeout)) co_return true;
    if (co_await replicate(turn)) {
      co_return ledger_.defer_turn(turn, ledger::DeferredTurns::Role::kOwner);
    }
    if (net::Clock::now() >= deadline) co_return false;
    co_await net::sleep_for(context_, kRecordPause);
    timeout = kFirstWriteTimeout;
  }
}

net::asio::awaitable<void> TurnKeeper::tell_written(Peer peer, std::string message) {
  const auto http = client(peer);
  auto call = post(kForgetPath, std::move(message));
  co_await http->exchange(std::move(call), kKeepTimeout);
}

net::asio::awaitable<void> TurnKeeper::write_deferred_of(ledger::DeferredTurns::Role role) {
  ++writes_under_way_;
  wire::ForgetTurns message;
  message.turns = co_await ledger_.write_deferred(role);
  --writes_under_way_;
  if (message.turns.empty()) co_return;
  const auto bytes = wire::encode(message);
  const auto peers =
      directory_.spread(kCopiesAsked, net::Clock::now(), beacons_.silence_limit());
  for (const auto& peer : peers) {
    net::asio::co_spawn(context_, tell_written(peer, bytes), net::asio::detached);
  }
}

net::asio::awaitable<void> TurnKeeper::write_deferred() {
  using Role = ledger::DeferredTurns::Role;
  for (int round = 0;; ++round) {
    co_await net::sleep_for(context_, kOwnWriteInterval);
    if (writes_under_way_ >= kMostWritesUnderWay) continue;
    const auto& deferred = ledger_.deferred();
    const bool copies = round % kCopyIntervals == 0 && deferred.count(Role::kCopy) > 0;
    if (deferred.count(Role::kOwner) > 0) {
      net::asio::co_spawn(context_, write_deferred_of(Role::kOwner), net::asio::detached);
    } else if (copies) {
      net::asio::co_spawn(context_, write_deferred_of(Role::kCopy), net::asio::detached);
    }
  }
}

void TurnKeeper::end(const std::string& program, const TurnStart& start, std::int64_t reserved,
                     std::int64_t used, ledger::TurnPointer turn) {
  if (start.keeper.empty()) {
    if (reserved > 0) ledger_.settle(program, reserved, used);
    return;
  }
  const auto peer = directory_.peers().find(start.keeper);
  const bool same = peer != directory_.peers().end() &&
                    peer->second.incarnation == start.keeper_incarnation;
  if (!same) return;  // what was reserved there counts as used
  wire::EndTurn message;
  message.program = program;
  message.reserved = reserved;
  message.used = used;
  if (turn != nullptr) message.chain = ledger::encode_whole_chain(*turn);
  net::asio::co_spawn(context_, end_at(peer->second, std::move(message)), net::asio::detached);
}

net::asio::awaitable<void> TurnKeeper::end_at(Peer home, wire::EndTurn message) {
  const auto http = client(home);
  // NOTE: sent once. A lost message leaves the reservation at its most, which is safe.
  auto call = post(kEndPath, wire::encode(message));
  co_await http->exchange(std::move(call), kEndTimeout);
}

net::asio::awaitable<void> TurnKeeper::serve_begin(const net::TextRequest& request,
                                                   net::TextResponse& response) {
  const auto message = wire::decode<wire::BeginTurn>(request.body());
  const auto time = std::clamp(net::Millis(message.time_left_ms), net::Millis(0), kHomeStoreTime);
  TurnRequest turn;
  turn.program = message.program;
  turn.previous = message.previous;
  turn.tokens = message.tokens;
  turn.budget = message.budget;
  const auto start = co_await begin_here(std::move(turn), net::Clock::now() + time);
  wire::BeginTurnReply reply;
  reply.lookup = static_cast<wire::TurnLookup::type>(start.lookup);
  reply.reservation = static_cast<wire::TurnReservation::type>(start.reservation);
  if (start.previous != nullptr) reply.chain = ledger::encode_whole_chain(*start.previous);
  response.body() = wire::encode(reply);
}

net::asio::awaitable<net::TextResponse> TurnKeeper::serve(net::TextRequest request) {
  net::TextResponse response;
  try {
    if (request.target() == kBeginPath) {
      co_await serve_begin(request, response);
    } else if (request.target() == kReleasePath) {
      const auto message = wire::decode<wire::ReleaseBudget>(request.body());
      const auto deadline = net::Clock::now() + kReleaseTimeout;
      if (!co_await ledger_.release(message.program, deadline)) {
        response.result(net::http::status::service_unavailable);
      }
    } else if (request.target() == kEndPath) {
      const auto message = wire::decode<wire::EndTurn>(request.body());
      if (message.reserved > 0) ledger_.settle(message.program, message.reserved, message.used);
      if (!message.chain.segments.empty()) {
        ledger_.remember_chain(message.chain, nullptr);
      }
    } else if (request.target() == kKeepPath) {
      const auto message = wire::decode<wire::KeepTurn>(request.body());
      auto turn = ledger_.remember_chain(message.chain, nullptr);
      if (!ledger_.defer_turn(std::move(turn), ledger::DeferredTurns::Role::kCopy)) {
        response.result(net::http::status::insufficient_storage);
      }
    } else if (request.target() == kForgetPath) {
      const auto message = wire::decode<wire::ForgetTurns>(request.body());
      for (const auto& id : message.turns) ledger_.deferred().forget(id);
    } else {
      response.result(net::http::status::not_found);
    }
  } catch (const std::exception& error) {
    log_.event("peer_message_unreadable").with("why", error.what());
    response.result(net::http::status::bad_request);
  }
  co_return response;
}

}  // namespace sailgate::cluster

#include "cluster/turn_progress.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kCopyPath = "/peer/turns/progress";
constexpr const char* kFindPath = "/peer/turns/resume";
/// Copies of an attempt's events besides those of the node that serves it.
constexpr std::size_t kCopies = 3;
/// One peer more than have copies, since nodes that join or return change the order.
constexpr std::size_t kAskedPeers = kCopies + 1;
constexpr net::Millis kCopyTimeout{400};
constexpr int kMaxCopyFailures = 3;
constexpr net::Millis kAskTimeout{120};
/// Longer than callers return to a stream.
constexpr net::Millis kRetention{std::chrono::seconds(30)};
constexpr std::size_t kMaxMessageBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxBytes = std::size_t{16} << 20U;
/// Callers make few attempts for a turn.
constexpr std::size_t kMaxAttempts = 8;
/// Memory of an event besides its texts.
constexpr std::size_t kEventOverhead = 64;

std::size_t size_of(const TurnEvents& events) {
  std::size_t size = 0;
  for (const auto& event : events) size += event.id.size() + event.data.size() + kEventOverhead;
  return size;
}

bool is_older(const std::shared_ptr<wire::TurnProgress>& left,
              const std::shared_ptr<wire::TurnProgress>& right) {
  if (left->begun_ms != right->begun_ms) return left->begun_ms < right->begun_ms;
  return left->events.size() < right->events.size();
}

/// @return nullopt if there is no such event.
std::optional<TurnEvents> events_up_to(const TurnEvents& events, const std::string& last_id) {
  const auto last = std::find_if(events.rbegin(), events.rend(),
                                 [&](const auto& event) { return event.id == last_id; });
  if (last == events.rend()) return std::nullopt;
  return TurnEvents(events.begin(), last.base());
}

}  // namespace

class TurnProgressLog::Attempt {
 public:
  struct Holder {
    Client client;
    std::size_t acknowledged = 0;  ///< events that it has
    int failures = 0;
    bool copying = false;
  };

  Progress progress;
  std::vector<Holder> holders;
};

std::shared_ptr<TurnProgressLog::Attempt> TurnProgressLog::begin(const std::string& turn,
                                                                 const std::string& attempt,
                                                                 std::int64_t begun_ms,
                                                                 const EarlierEvents& earlier) {
  auto begun = std::make_shared<Attempt>();
  begun->progress = std::make_shared<wire::TurnProgress>();
  begun->progress->turn = turn;
  begun->progress->attempt = attempt;
  // Estimates of the clock may differ by more than attempts do.
  auto latest_ms = earlier.begun_ms;
  const auto known = turns_.find(turn);
  if (known != turns_.end()) latest_ms = std::max(latest_ms, latest_of(known->second)->begun_ms);
  begun->progress->begun_ms = std::max(begun_ms, latest_ms + 1);
  for (auto& holder : holders(turn, kCopies)) begun->holders.push_back({std::move(holder)});
  add_attempt(touch(turn), begun->progress);
  append(begun, earlier.events);
  return begun;
}

void TurnProgressLog::append(const std::shared_ptr<Attempt>& attempt, const TurnEvents& events) {
  auto& turn = touch(attempt->progress->turn);
  const auto& attempts = turn.attempts;
  const bool kept =
      std::find(attempts.begin(), attempts.end(), attempt->progress) != attempts.end();
  if (!kept) add_attempt(turn, attempt->progress);
  add(turn, attempt->progress, events);
  for (std::size_t i = 0; i < attempt->holders.size(); ++i) {
    auto& holder = attempt->holders[i];
    if (holder.copying || holder.failures >= kMaxCopyFailures) continue;
    holder.copying = true;
    net::asio::co_spawn(context_, copy_to(attempt, i), net::asio::detached);
  }
}

net::asio::awaitable<void> TurnProgressLog::copy_to(std::shared_ptr<Attempt> attempt,
                                                    std::size_t index) {
  auto& holder = attempt->holders[index];
  const auto& progress = *attempt->progress;
  while (holder.acknowledged < progress.events.size() && holder.failures < kMaxCopyFailures) {
    wire::TurnProgress message;
    message.turn = progress.turn;
    message.attempt = progress.attempt;
    message.begun_ms = progress.begun_ms;
    message.first = static_cast<std::int32_t>(holder.acknowledged);
    auto sent = holder.acknowledged;
    for (std::size_t size = 0; sent < progress.events.size() && size < kMaxMessageBytes; ++sent) {
      message.events.push_back(progress.events[sent]);
      size += progress.events[sent].data.size();
    }
    auto request = peer_request(kCopyPath, wire::encode(message));
    const auto exchange = co_await holder.client->exchange(std::move(request), kCopyTimeout);
    if (succeeded(exchange)) {
      holder.acknowledged = sent;
      holder.failures = 0;
    } else {
      // A holder that has lost the beginning gets it again.
      holder.acknowledged = 0;
      ++holder.failures;
    }
  }
  holder.copying = false;
}

std::vector<TurnProgressLog::Client> TurnProgressLog::holders(const std::string& turn,
                                                              std::size_t count) {
  const auto peers =
      directory_.rendezvous_peers(turn, count, net::Clock::now(), beacons_.silence_limit());
  std::vector<Client> clients;
  clients.reserve(peers.size());
  for (const auto* peer : peers) clients.push_back(clients_.get(*peer));
  return clients;
}

net::asio::awaitable<std::optional<EarlierEvents>> TurnProgressLog::find(std::string turn,
                                                                         std::string last_event_id,
                                                                         net::TimePoint deadline) {
  Progress latest;
  const auto known = turns_.find(turn);
  if (known != turns_.end()) latest = latest_of(known->second);
  const auto asked = holders(turn, kAskedPeers);
  for (const auto& holder : asked) {
    const auto progress = co_await ask(holder, turn, deadline);
    if (progress != nullptr && (latest == nullptr || is_older(latest, progress))) latest = progress;
  }
  if (latest == nullptr) co_return std::nullopt;
  auto events = events_up_to(latest->events, last_event_id);
  if (!events) co_return std::nullopt;
  EarlierEvents earlier;
  earlier.events = std::move(*events);
  earlier.begun_ms = latest->begun_ms;
  co_return earlier;
}

net::asio::awaitable<TurnProgressLog::Progress> TurnProgressLog::ask(Client holder,
                                                                     const std::string& turn,
                                                                     net::TimePoint deadline) {
  const auto left = std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
  if (left.count() <= 0) co_return nullptr;
  wire::TurnProgressQuery query;
  query.turn = turn;
  auto request = peer_request(kFindPath, wire::encode(query));
  const auto exchange = co_await holder->exchange(std::move(request), std::min(left, kAskTimeout));
  if (!succeeded(exchange)) co_return nullptr;
  try {
    auto found = wire::decode<wire::TurnProgress>(exchange.response.body());
    co_return std::make_shared<wire::TurnProgress>(std::move(found));
  } catch (const std::exception&) {
    co_return nullptr;
  }
}

bool TurnProgressLog::serves(std::string_view path) {
  return path == kCopyPath || path == kFindPath;
}

net::TextResponse TurnProgressLog::serve(const net::TextRequest& request) {
  if (request.target() == kCopyPath) {
    return serve_copy(wire::decode<wire::TurnProgress>(request.body()));
  }
  return serve_find(wire::decode<wire::TurnProgressQuery>(request.body()));
}

net::TextResponse TurnProgressLog::serve_copy(const wire::TurnProgress& message) {
  auto progress = find_attempt(message.turn, message.attempt);
  const auto have = progress == nullptr ? 0 : progress->events.size();
  const auto first = static_cast<std::size_t>(std::max(message.first, 0));
  net::TextResponse response;
  if (first > have) {
    response.result(net::http::status::conflict);
    return response;
  }
  auto& turn = touch(message.turn);
  if (progress == nullptr) {
    progress = std::make_shared<wire::TurnProgress>();
    progress->turn = message.turn;
    progress->attempt = message.attempt;
    progress->begun_ms = message.begun_ms;
    add_attempt(turn, progress);
  }
  // A message that arrives twice, or late, brings nothing new.
  if (first + message.events.size() <= have) return response;
  const auto fresh = message.events.begin() + static_cast<std::ptrdiff_t>(have - first);
  add(turn, progress, TurnEvents(fresh, message.events.end()));
  return response;
}

net::TextResponse TurnProgressLog::serve_find(const wire::TurnProgressQuery& query) {
  net::TextResponse response;
  const auto known = turns_.find(query.turn);
  if (known == turns_.end()) {
    response.result(net::http::status::not_found);
    return response;
  }
  response.body() = wire::encode(*latest_of(known->second));
  return response;
}

TurnProgressLog::Progress TurnProgressLog::latest_of(const Turn& turn) {
  return *std::max_element(turn.attempts.begin(), turn.attempts.end(), is_older);
}

TurnProgressLog::Progress TurnProgressLog::find_attempt(const std::string& name,
                                                        const std::string& attempt) const {
  const auto turn = turns_.find(name);
  if (turn == turns_.end()) return nullptr;
  const auto& attempts = turn->second.attempts;
  const auto known = std::find_if(attempts.begin(), attempts.end(),
                                  [&](const auto& kept) { return kept->attempt == attempt; });
  return known == attempts.end() ? nullptr : *known;
}

TurnProgressLog::Turn& TurnProgressLog::touch(const std::string& name) {
  auto& turn = turns_[name];
  if (turn.kept_until == net::TimePoint{}) {
    by_age_.push_back({name, net::Clock::now() + kRetention});
  }
  turn.kept_until = net::Clock::now() + kRetention;
  return turn;
}

void TurnProgressLog::add_attempt(Turn& turn, const Progress& progress) {
  if (turn.attempts.size() >= kMaxAttempts) {
    const auto oldest = std::min_element(turn.attempts.begin(), turn.attempts.end(), is_older);
    const auto size = size_of((*oldest)->events);
    turn.bytes -= size;
    bytes_ -= size;
    turn.attempts.erase(oldest);
  }
  const auto size = size_of(progress->events);
  turn.bytes += size;
  bytes_ += size;
  turn.attempts.push_back(progress);
}

void TurnProgressLog::add(Turn& turn, const Progress& progress, const TurnEvents& events) {
  progress->events.insert(progress->events.end(), events.begin(), events.end());
  const auto size = size_of(events);
  turn.bytes += size;
  bytes_ += size;
  while (bytes_ > kMaxBytes && !by_age_.empty()) remove_oldest();
}

void TurnProgressLog::remove_oldest() {
  const auto known = turns_.find(by_age_.front().turn);
  by_age_.pop_front();
  bytes_ -= known->second.bytes;
  turns_.erase(known);
}

void TurnProgressLog::expire(net::TimePoint now) {
  while (!by_age_.empty() && by_age_.front().kept_until <= now) {
    auto front = std::move(by_age_.front());
    const auto kept_until = turns_.at(front.turn).kept_until;
    if (kept_until <= now) {
      by_age_.front() = std::move(front);
      remove_oldest();
      continue;
    }
    by_age_.pop_front();
    by_age_.push_back({std::move(front.turn), kept_until});
  }
}

}  // namespace sailgate::cluster

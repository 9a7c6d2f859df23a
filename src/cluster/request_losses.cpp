#include "cluster/request_losses.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kSyncPath = "/peer/requests/losses";
constexpr const char* kQuarantinePath = "/peer/requests/quarantined";
/// Copies of what is known of a request, besides those of the nodes that observed it.
constexpr std::size_t kHolders = 3;
/// A caller waits so long for its failure where a peer does not answer.
constexpr net::Millis kCallTimeout{150};
constexpr net::Millis kSynchronizedFor{50};
/// Longer than callers come back with a request.
constexpr net::Millis kRetention{std::chrono::minutes(10)};
/// Bounds the memory at some 20 MB.
constexpr std::size_t kMaxEntries = 20'000;
/// Peers called at the same time, which bounds the connections opened at once.
constexpr std::size_t kParallelCalls = 64;
/// Nodes that were frozen or cut off for this long still learn of a quarantine.
constexpr net::Millis kAnnounceFor{std::chrono::seconds(10)};
constexpr net::Millis kFirstAnnouncePause{20};
constexpr net::Millis kAnnouncePause{500};
constexpr net::Millis kCatchUpFor{std::chrono::seconds(10)};
constexpr net::Millis kCatchUpPause{100};
constexpr net::Millis kMaxReadPause{1000};
/// A caller waits so long for its failure where the store does not answer.
constexpr net::Millis kStoreTimeout{150};

std::int32_t age(net::TimePoint at, net::TimePoint now) {
  const auto passed = std::chrono::duration_cast<net::Millis>(now - at);
  return static_cast<std::int32_t>(std::clamp(passed, net::Millis(0), kRetention).count());
}

balancing::EngineFate to_fate(std::int32_t value) {
  using balancing::EngineFate;
  if (value == static_cast<std::int32_t>(EngineFate::kAlive)) return EngineFate::kAlive;
  if (value == static_cast<std::int32_t>(EngineFate::kEnded)) return EngineFate::kEnded;
  return EngineFate::kUnknown;
}

wire::EngineLoss to_wire(const balancing::EngineLoss& loss, net::TimePoint now) {
  wire::EngineLoss told;
  told.engine = loss.engine;
  told.attempt = loss.attempt;
  told.shared = loss.shared;
  told.began_ms = age(loss.began, now);
  told.ended_ms = age(loss.ended, now);
  told.fate = static_cast<std::int32_t>(loss.fate);
  told.__set_looked_ms(age(loss.looked_at, now));
  told.__set_headers(loss.headers);
  told.__set_running(loss.running);
  if (loss.withdrawn) told.__set_withdrawn(true);
  return told;
}

balancing::EngineLoss from_wire(const wire::EngineLoss& told, net::TimePoint now) {
  balancing::EngineLoss loss;
  loss.engine = told.engine;
  loss.attempt = told.attempt;
  loss.shared = told.shared;
  loss.began = now - net::Millis(told.began_ms);
  loss.ended = now - net::Millis(told.ended_ms);
  loss.fate = to_fate(told.fate);
  loss.headers = told.headers;
  loss.running = told.running;
  loss.withdrawn = told.withdrawn;
  loss.looked_at = told.__isset.looked_ms ? now - net::Millis(told.looked_ms) : loss.ended;
  return loss;
}

}  // namespace

struct RequestLosses::Round {
  Round(net::asio::io_context& context, std::size_t calls) : left(calls), done(context) {
    done.expires_at(net::TimePoint::max());
  }
  std::size_t left;
  net::asio::steady_timer done;
  std::vector<std::string> answered;
};

RequestLosses::RequestLosses(net::asio::io_context& context, PeerDirectory& directory,
                             PeerClients& clients, BeaconSender& beacons, StoreRelay& store,
                             observe::StructuredLog& log, std::uint64_t seed,
                             balancing::LossHistory::Judge judge, Listener on_reported)
    : context_(context),
      directory_(directory),
      clients_(clients),
      beacons_(beacons),
      log_(log),
      judge_(std::move(judge)),
      on_reported_(std::move(on_reported)),
      rows_(
          context, store, log, [&directory] { return directory.peers().size() + 1; }, seed,
          [this](const std::string& fingerprint) -> std::optional<wire::RequestLosses> {
            if (!knows(fingerprint)) return std::nullopt;
            return compose(*entries_.at(fingerprint));
          },
          [this](const wire::RequestLosses& losses) { merge(losses); }) {
  beacons_.on_notice([this](const std::string& notice) { note_first_run(notice); });
}

RequestLosses::Entry& RequestLosses::touch(const std::string& fingerprint) {
  const auto known = entries_.find(fingerprint);
  if (known == entries_.end()) {
    if (entries_.size() >= kMaxEntries) forget_oldest();
    by_age_.push_back({});
    by_age_.back().fingerprint = fingerprint;
    entries_[fingerprint] = std::prev(by_age_.end());
  } else {
    by_age_.splice(by_age_.end(), by_age_, known->second);
  }
  auto& entry = by_age_.back();
  entry.kept_until = net::Clock::now() + kRetention;
  return entry;
}

void RequestLosses::forget_oldest() {
  const auto& fingerprint = by_age_.front().fingerprint;
  rows_.forget(fingerprint);
  entries_.erase(fingerprint);
  by_age_.pop_front();
}

void RequestLosses::expire(net::TimePoint now) {
  while (!by_age_.empty() && by_age_.front().kept_until <= now) forget_oldest();
}

void RequestLosses::record(const std::string& fingerprint, balancing::EngineLoss loss) {
  auto& entry = touch(fingerprint);
  entry.history.add(std::move(loss));
  take_first_runs(entry);
}

void RequestLosses::notify_first_run(const std::string& fingerprint,
                                     const balancing::EngineLoss& run) {
  const auto peers =
      directory_.rendezvous_peers(fingerprint, 1, net::Clock::now(), beacons_.silence_limit());
  if (peers.empty()) return;
  wire::RequestLosses notice;
  notice.fingerprint = fingerprint;
  notice.losses.push_back(to_wire(run, net::Clock::now()));
  beacons_.send_notice(*peers.front(), wire::encode(notice));
}

void RequestLosses::note_first_run(const std::string& notice) {
  const auto now = net::Clock::now();
  const auto message = wire::decode<wire::RequestLosses>(notice);
  for (const auto& told : message.losses) {
    first_runs_.note(message.fingerprint, from_wire(told, now), now);
  }
}

void RequestLosses::take_first_runs(Entry& entry) {
  for (auto& run : first_runs_.take(entry.fingerprint, net::Clock::now())) {
    entry.history.add(std::move(run));
  }
}

bool RequestLosses::knows_run(const std::string& fingerprint, const std::string& engine,
                              const std::string& attempt) const {
  const auto known = entries_.find(fingerprint);
  if (known == entries_.end()) return false;
  const auto& losses = known->second->history.losses();
  return std::any_of(losses.begin(), losses.end(), [&](const auto& loss) {
    return loss.engine == engine && loss.attempt == attempt;
  });
}

bool RequestLosses::withdraw(const std::string& fingerprint, const std::string& engine,
                             const std::string& attempt) {
  return knows(fingerprint) && touch(fingerprint).history.withdraw(engine, attempt);
}

void RequestLosses::record_success(const std::string& fingerprint, const std::string& headers,
                                   net::TimePoint began) {
  if (!knows(fingerprint)) return;
  if (!touch(fingerprint).history.record_success(headers, began)) return;
  log_.event("losses_cleared").with("fingerprint", fingerprint).with("headers", headers);
}

balancing::LossCount RequestLosses::count(const std::string& fingerprint,
                                          const std::string& headers) const {
  const auto known = entries_.find(fingerprint);
  if (known == entries_.end()) return {};
  return known->second->history.count(judge_, headers);
}

std::vector<balancing::EngineLoss> RequestLosses::losses_to_look_at(
    const std::string& fingerprint) const {
  std::vector<balancing::EngineLoss> settled;
  const auto known = entries_.find(fingerprint);
  if (known == entries_.end()) return settled;
  const auto now = net::Clock::now();
  for (const auto& loss : known->second->history.losses()) {
    const bool open = judge_(loss) == balancing::LossVerdict::kOpen;
    if (open && loss.settles_at() <= now) settled.push_back(loss);
  }
  return settled;
}

bool RequestLosses::must_wait(const Entry& entry) const {
  return entry.history.count_for_all(judge_).must_wait();
}

bool RequestLosses::is_quarantined(const std::string& fingerprint, const std::string& headers) {
  if (!count(fingerprint, headers).at_limit()) return false;
  touch(fingerprint);
  return true;
}

bool RequestLosses::recently_synchronized(const std::string& fingerprint) const {
  const auto known = entries_.find(fingerprint);
  return known != entries_.end() &&
         net::Clock::now() < known->second->synchronized_at + kSynchronizedFor;
}

wire::RequestLosses RequestLosses::compose(const Entry& entry) const {
  const auto now = net::Clock::now();
  wire::RequestLosses message;
  message.fingerprint = entry.fingerprint;
  for (const auto& loss : entry.history.losses()) {
    auto told = to_wire(loss, now);
    // An engine that this node heard since the loss is alive, also for nodes that do not use it.
    const bool survived = judge_(loss) == balancing::LossVerdict::kSurvived;
    const auto fate = survived ? balancing::EngineFate::kAlive : loss.fate;
    const auto looked_at = survived ? std::max(loss.looked_at, loss.settles_at()) : loss.looked_at;
    told.fate = static_cast<std::int32_t>(fate);
    told.__set_looked_ms(age(looked_at, now));
    message.losses.push_back(std::move(told));
  }
  for (const auto& [headers, began] : entry.history.successes()) {
    wire::RequestSuccess success;
    success.headers = headers;
    success.began_ms = age(began, now);
    message.successes.push_back(std::move(success));
  }
  message.__isset.successes = !message.successes.empty();
  return message;
}

void RequestLosses::merge(const wire::RequestLosses& message) {
  if (message.losses.empty()) return;
  const auto now = net::Clock::now();
  auto& entry = touch(message.fingerprint);
  for (const auto& told : message.losses) {
    auto loss = from_wire(told, now);
    on_reported_(loss);
    entry.history.add(std::move(loss));
  }
  take_first_runs(entry);
  for (const auto& success : message.successes) {
    entry.history.record_success(success.headers, now - net::Millis(success.began_ms));
  }
}

net::asio::awaitable<void> RequestLosses::call_one(Target target, net::TextRequest request,
                                                   std::shared_ptr<Round> round) {
  try {
    const auto exchange = co_await target.client->exchange(std::move(request), kCallTimeout);
    // Nodes of earlier versions answer as well, though not with 200.
    if (exchange.failure == net::ExchangeFailure::kNone) round->answered.push_back(target.node);
    if (succeeded(exchange)) {
      const auto list = wire::decode<wire::RequestLossList>(exchange.response.body());
      for (const auto& message : list.requests) merge(message);
      if (list.caught_up && !caught_up_) note_caught_up("peer");
    }
  } catch (const std::exception& error) {
    log_.event("peer_message_unreadable").with("peer", target.node).with("why", error.what());
  }
  if (--round->left == 0) round->done.cancel();
}

std::vector<RequestLosses::Target> RequestLosses::holders(const std::string& key) {
  const auto peers =
      directory_.rendezvous_peers(key, kHolders, net::Clock::now(), beacons_.silence_limit());
  std::vector<Target> targets;
  targets.reserve(peers.size());
  for (const auto* peer : peers) targets.push_back({peer->node, clients_.get(*peer)});
  return targets;
}

net::asio::awaitable<std::vector<std::string>> RequestLosses::call_all(std::vector<Target> targets,
                                                                       const char* path,
                                                                       std::string body) {
  std::vector<std::string> answered;
  for (std::size_t first = 0; first < targets.size(); first += kParallelCalls) {
    const auto last = std::min(first + kParallelCalls, targets.size());
    auto round = std::make_shared<Round>(context_, last - first);
    for (auto i = first; i < last; ++i) {
      net::asio::co_spawn(context_, call_one(targets[i], peer_request(path, body), round),
                          net::asio::detached);
    }
    net::Error ignored;
    if (round->left > 0) co_await round->done.async_wait(net::awaiting(ignored));
    answered.insert(answered.end(), round->answered.begin(), round->answered.end());
  }
  co_return answered;
}

int RequestLosses::engines_known(const std::string& fingerprint) const {
  const auto known = entries_.find(fingerprint);
  if (known == entries_.end()) return 0;
  const auto count = known->second->history.count_for_all(judge_);
  return count.ended + count.open + count.survived;
}

net::asio::awaitable<bool> RequestLosses::synchronize(std::string fingerprint) {
  const bool alone = directory_.peers().empty();
  auto asked = holders(fingerprint);
  const auto peers = asked.size();
  const auto known_before = engines_known(fingerprint);
  const auto answered = co_await call_all(std::move(asked), kSyncPath, message_about(fingerprint));
  auto& entry = touch(fingerprint);
  const bool confirmed = alone || !answered.empty();
  if (confirmed) entry.synchronized_at = net::Clock::now();
  log_.event("losses_synchronized")
      .with("fingerprint", fingerprint)
      .with("peers", peers)
      .with("answered", answered.size())
      .with("engines_before", known_before)
      .with("engines", engines_known(fingerprint));
  co_return confirmed;
}

net::asio::awaitable<RequestLosses::Publication> RequestLosses::publish(std::string fingerprint) {
  Publication publication;
  const auto limit = net::Clock::now() + kStoreTimeout;
  const auto write = rows_.save(fingerprint);
  publication.known_to_peers = co_await synchronize(fingerprint);
  publication.stored = co_await rows_.wait(write, limit);
  auto& entry = touch(fingerprint);
  const auto version = entry.history.version();
  if (must_wait(entry) && entry.announced_version < version) {
    entry.announced_version = version;
    co_await announce(fingerprint);
  }
  co_return publication;
}

net::asio::awaitable<void> RequestLosses::update_copies(std::string fingerprint) {
  if (rows_.may_hold(fingerprint)) rows_.save(fingerprint);
  co_await synchronize(std::move(fingerprint));
}

std::string RequestLosses::message_about(const std::string& fingerprint) {
  wire::RequestLossList message;
  message.requests.push_back(compose(touch(fingerprint)));
  return wire::encode(message);
}

std::vector<RequestLosses::Target> RequestLosses::untold(const std::vector<std::string>& told,
                                                         bool only_live) {
  const auto now = net::Clock::now();
  const auto silence = beacons_.silence_limit();
  std::vector<Target> targets;
  for (const auto& [node, peer] : directory_.peers()) {
    if (only_live && !PeerDirectory::is_live(peer, now, silence)) continue;
    const auto process = node + '@' + std::to_string(peer.incarnation);
    if (std::find(told.begin(), told.end(), process) != told.end()) continue;
    targets.push_back({process, clients_.get(peer)});
  }
  return targets;
}

net::asio::awaitable<void> RequestLosses::announce(std::string fingerprint) {
  const auto began = net::Clock::now();
  auto live = untold({}, true);
  const auto peers = live.size();
  auto told = co_await call_all(std::move(live), kSyncPath, message_about(fingerprint));
  const auto took = std::chrono::duration_cast<net::Millis>(net::Clock::now() - began);
  const auto count = touch(fingerprint).history.count_for_all(judge_);
  log_.event("quarantine_announced")
      .with("fingerprint", fingerprint)
      .with("engines_ended", count.ended)
      .with("engines_open", count.open)
      .with("peers", peers)
      .with("answered", told.size())
      .with("took_ms", took.count());
  net::asio::co_spawn(context_, repeat_announcement(std::move(fingerprint), std::move(told)),
                      net::asio::detached);
}

net::asio::awaitable<void> RequestLosses::repeat_announcement(std::string fingerprint,
                                                              std::vector<std::string> told) {
  const auto limit = net::Clock::now() + kAnnounceFor;
  auto pause = kFirstAnnouncePause;
  while (net::Clock::now() < limit) {
    co_await net::sleep_for(context_, pause);
    pause = std::min(2 * pause, kAnnouncePause);
    // Processes that started meanwhile may have asked before the announcement.
    auto missed = untold(told, false);
    if (!knows(fingerprint)) co_return;
    if (missed.empty()) continue;
    const auto answered =
        co_await call_all(std::move(missed), kSyncPath, message_about(fingerprint));
    told.insert(told.end(), answered.begin(), answered.end());
  }
}

void RequestLosses::note_caught_up(const char* source) {
  log_.event("losses_caught_up").with("source", source).with("requests", entries_.size());
  caught_up_ = true;
}

net::asio::awaitable<void> RequestLosses::read_rows() {
  auto pause = kCatchUpPause;
  while (!co_await rows_.load()) {
    co_await net::sleep_for(context_, pause);
    pause = std::min(2 * pause, kMaxReadPause);
  }
  note_caught_up("store");
}

net::asio::awaitable<void> RequestLosses::start() {
  net::asio::co_spawn(context_, read_rows(), net::asio::detached);
  // Peers are not known yet.
  co_await net::sleep_for(context_, kCatchUpPause);
  co_await catch_up();
}

net::asio::awaitable<void> RequestLosses::catch_up() {
  const auto limit = net::Clock::now() + kCatchUpFor;
  while (net::Clock::now() < limit) {
    auto asked = holders(directory_.self());
    const auto answered = co_await call_all(std::move(asked), kQuarantinePath, std::string());
    if (!answered.empty()) co_return;
    co_await net::sleep_for(context_, kCatchUpPause);
  }
  log_.event("losses_not_caught_up").with("requests", entries_.size());
}

bool RequestLosses::serves(std::string_view path) {
  return path == kSyncPath || path == kQuarantinePath;
}

net::TextResponse RequestLosses::serve(const net::TextRequest& request) {
  wire::RequestLossList answer;
  if (request.target() == kSyncPath) {
    const auto list = wire::decode<wire::RequestLossList>(request.body());
    for (const auto& message : list.requests) {
      merge(message);
      if (knows(message.fingerprint))
        answer.requests.push_back(compose(touch(message.fingerprint)));
    }
  } else {
    for (const auto& entry : by_age_) {
      if (must_wait(entry)) answer.requests.push_back(compose(entry));
    }
    answer.__set_caught_up(caught_up_);
  }
  net::TextResponse response;
  response.body() = wire::encode(answer);
  return response;
}

}  // namespace sailgate::cluster

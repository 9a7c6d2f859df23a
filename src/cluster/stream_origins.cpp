#include "cluster/stream_origins.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kCopyPath = "/peer/streams/origin";
constexpr const char* kFindPath = "/peer/streams/find";
/// Copies of a stream's version besides that of the node that serves it.
constexpr std::size_t kCopies = 3;
/// One peer more than have copies, since nodes that join or return change the order.
constexpr std::size_t kAskedPeers = kCopies + 1;
constexpr net::Millis kCopyTimeout{400};
constexpr net::Millis kAskTimeout{120};
/// Bounds the memory at some 10 MB.
constexpr std::size_t kMaxEntries = 50'000;

}  // namespace

void StreamOrigins::keep(const std::string& attempt, const std::string& version) {
  const auto now = net::Clock::now();
  while (!by_age_.empty() && (by_age_.front().kept_until <= now || by_age_.size() >= kMaxEntries)) {
    versions_.erase(by_age_.front().attempt);
    by_age_.pop_front();
  }
  if (versions_.emplace(attempt, version).second) by_age_.push_back({attempt, now + kRetention});
}

void StreamOrigins::record(const std::string& attempt, const std::string& version) {
  keep(attempt, version);
  wire::StreamOrigin message;
  message.attempt = attempt;
  message.version = version;
  const auto body = wire::encode(message);
  for (auto& holder : holders(attempt, kCopies)) {
    net::asio::co_spawn(context_, copy_to(std::move(holder), body), net::asio::detached);
  }
}

std::vector<StreamOrigins::Client> StreamOrigins::holders(const std::string& attempt,
                                                          std::size_t count) {
  const auto peers =
      directory_.rendezvous_peers(attempt, count, net::Clock::now(), beacons_.silence_limit());
  std::vector<Client> clients;
  clients.reserve(peers.size());
  for (const auto* peer : peers) clients.push_back(clients_.get(*peer));
  return clients;
}

net::asio::awaitable<void> StreamOrigins::copy_to(Client holder, std::string body) {
  co_await holder->exchange(peer_request(kCopyPath, std::move(body)), kCopyTimeout);
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::find(std::string attempt,
                                                                     net::TimePoint deadline) {
  if (attempt.empty()) co_return std::nullopt;
  const auto known = versions_.find(attempt);
  if (known != versions_.end()) co_return known->second;
  wire::StreamOrigin question;
  question.attempt = attempt;
  const auto asked = holders(attempt, kAskedPeers);
  for (const auto& holder : asked) {
    if (auto version = co_await ask(holder, question, deadline)) {
      keep(attempt, *version);
      co_return version;
    }
  }
  co_return std::nullopt;
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::find_only(std::string service,
                                                                          net::TimePoint deadline) {
  wire::StreamOrigin question;
  question.__set_service_name(service);
  const auto asked = holders(service, kAskedPeers);
  for (const auto& peer : asked) {
    if (auto version = co_await ask(peer, question, deadline)) co_return version;
  }
  co_return std::nullopt;
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::ask(Client holder,
                                                                    wire::StreamOrigin question,
                                                                    net::TimePoint deadline) {
  const auto left = std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
  if (left.count() <= 0) co_return std::nullopt;
  const auto exchange = co_await holder->exchange(peer_request(kFindPath, wire::encode(question)),
                                                  std::min(left, kAskTimeout));
  if (!succeeded(exchange)) co_return std::nullopt;
  try {
    co_return wire::decode<wire::StreamOrigin>(exchange.response.body()).version;
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

bool StreamOrigins::serves(std::string_view path) { return path == kCopyPath || path == kFindPath; }

net::TextResponse StreamOrigins::serve(const net::TextRequest& request) {
  auto message = wire::decode<wire::StreamOrigin>(request.body());
  net::TextResponse response;
  if (request.target() == kCopyPath) {
    keep(message.attempt, message.version);
    return response;
  }
  const auto version = answer(message);
  if (!version) {
    response.result(net::http::status::not_found);
    return response;
  }
  message.version = *version;
  response.body() = wire::encode(message);
  return response;
}

std::optional<std::string> StreamOrigins::answer(const wire::StreamOrigin& question) const {
  if (question.__isset.service_name) return only_version_(question.service_name);
  const auto known = versions_.find(question.attempt);
  if (known == versions_.end()) return std::nullopt;
  return known->second;
}

}  // namespace sailgate::cluster

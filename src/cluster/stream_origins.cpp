#include "cluster/stream_origins.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kCopyPath = "/peer/streams/origin";
constexpr const char* kFindPath = "/peer/streams/find";
constexpr const char* kFindAllPath = "/peer/streams/versions";
/// Copies of a stream's version besides that of the node that serves it.
constexpr std::size_t kCopies = 3;
/// One peer more than have copies, since nodes that join or return change the order.
constexpr std::size_t kAskedPeers = kCopies + 1;
constexpr net::Millis kCopyTimeout{400};
constexpr net::Millis kAskTimeout{120};
/// Bounds the memory at some 10 MB.
constexpr std::size_t kMaxEntries = 50'000;

}  // namespace

void StreamOrigins::keep(const Stream& stream, const std::string& version) {
  const auto now = net::Clock::now();
  while (!by_age_.empty() && (by_age_.front().kept_until <= now || by_age_.size() >= kMaxEntries)) {
    drop_oldest();
  }
  if (!versions_.emplace(stream.attempt, version).second) return;
  ++by_request_[stream.request][version];
  by_age_.push_back({stream, version, now + kRetention});
}

void StreamOrigins::drop_oldest() {
  const auto& oldest = by_age_.front();
  versions_.erase(oldest.stream.attempt);
  auto& streams = by_request_[oldest.stream.request];
  if (--streams[oldest.version] == 0) streams.erase(oldest.version);
  if (streams.empty()) by_request_.erase(oldest.stream.request);
  by_age_.pop_front();
}

void StreamOrigins::record(const Stream& stream, const std::string& version) {
  keep(stream, version);
  wire::StreamOrigin message;
  message.attempt = stream.attempt;
  message.version = version;
  message.__set_request(stream.request);
  const auto body = wire::encode(message);
  for (auto& holder : holders(stream.request, kCopies)) {
    net::asio::co_spawn(context_, copy_to(std::move(holder), body), net::asio::detached);
  }
}

std::vector<StreamOrigins::Client> StreamOrigins::holders(const std::string& request,
                                                          std::size_t count) {
  const auto peers =
      directory_.rendezvous_peers(request, count, net::Clock::now(), beacons_.silence_limit());
  std::vector<Client> clients;
  clients.reserve(peers.size());
  for (const auto* peer : peers) clients.push_back(clients_.get(*peer));
  return clients;
}

net::asio::awaitable<void> StreamOrigins::copy_to(Client holder, std::string body) {
  co_await holder->exchange(peer_request(kCopyPath, std::move(body)), kCopyTimeout);
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::find(Stream stream,
                                                                     net::TimePoint deadline) {
  if (stream.attempt.empty()) co_return std::nullopt;
  const auto known = versions_.find(stream.attempt);
  if (known != versions_.end()) co_return known->second;
  wire::StreamOrigin question;
  question.attempt = stream.attempt;
  const auto asked = holders(stream.request, kAskedPeers);
  for (const auto& holder : asked) {
    if (auto version = co_await ask_version(holder, question, deadline)) {
      keep(stream, *version);
      co_return version;
    }
  }
  co_return std::nullopt;
}

net::asio::awaitable<std::set<std::string>> StreamOrigins::find_all(std::string request,
                                                                    net::TimePoint deadline) {
  auto versions = versions_of(request);
  wire::StreamOrigin question;
  question.__set_request(request);
  const auto asked = holders(request, kAskedPeers);
  for (const auto& holder : asked) {
    const auto body = co_await ask(holder, kFindAllPath, question, deadline);
    if (!body) continue;
    try {
      const auto told = wire::decode<wire::StreamVersions>(*body);
      versions.insert(told.versions.begin(), told.versions.end());
    } catch (const std::exception&) {
      continue;
    }
  }
  co_return versions;
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::find_only(std::string service,
                                                                          net::TimePoint deadline) {
  wire::StreamOrigin question;
  question.__set_service_name(service);
  const auto asked = holders(service, kAskedPeers);
  for (const auto& peer : asked) {
    if (auto version = co_await ask_version(peer, question, deadline)) co_return version;
  }
  co_return std::nullopt;
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::ask(Client holder, const char* path,
                                                                    wire::StreamOrigin question,
                                                                    net::TimePoint deadline) {
  const auto left = std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
  if (left.count() <= 0) co_return std::nullopt;
  const auto exchange = co_await holder->exchange(peer_request(path, wire::encode(question)),
                                                  std::min(left, kAskTimeout));
  if (!succeeded(exchange)) co_return std::nullopt;
  co_return exchange.response.body();
}

net::asio::awaitable<std::optional<std::string>> StreamOrigins::ask_version(
    Client holder, wire::StreamOrigin question, net::TimePoint deadline) {
  const auto body = co_await ask(std::move(holder), kFindPath, std::move(question), deadline);
  if (!body) co_return std::nullopt;
  try {
    co_return wire::decode<wire::StreamOrigin>(*body).version;
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

bool StreamOrigins::serves(std::string_view path) {
  return path == kCopyPath || path == kFindPath || path == kFindAllPath;
}

net::TextResponse StreamOrigins::serve(const net::TextRequest& request) {
  auto message = wire::decode<wire::StreamOrigin>(request.body());
  net::TextResponse response;
  if (request.target() == kCopyPath) {
    keep({message.request, message.attempt}, message.version);
    return response;
  }
  if (request.target() == kFindAllPath) {
    const auto known = versions_of(message.request);
    wire::StreamVersions found;
    found.versions.assign(known.begin(), known.end());
    response.body() = wire::encode(found);
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

std::set<std::string> StreamOrigins::versions_of(const std::string& request) const {
  std::set<std::string> versions;
  const auto known = by_request_.find(request);
  if (known == by_request_.end()) return versions;
  for (const auto& [version, streams] : known->second) versions.insert(version);
  return versions;
}

std::optional<std::string> StreamOrigins::answer(const wire::StreamOrigin& question) const {
  if (question.__isset.service_name) return only_version_(question.service_name);
  const auto known = versions_.find(question.attempt);
  if (known == versions_.end()) return std::nullopt;
  return known->second;
}

}  // namespace sailgate::cluster

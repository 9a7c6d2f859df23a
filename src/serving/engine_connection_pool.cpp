#include "serving/engine_connection_pool.hpp"

#include <algorithm>

#include "net/socket_state.hpp"

namespace sailgate::serving {

namespace {

/// Timeout of the TCP handshake. After it the request goes to another engine.
constexpr net::Millis kConnectTimeout{600};

}  // namespace

EngineConnectionPointer EngineConnectionPool::take_idle(const std::string& engine_id) {
  const auto entry = idle_.find(engine_id);
  if (entry == idle_.end()) return nullptr;
  auto& connections = entry->second;
  const auto now = net::Clock::now();
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    const bool fresh = now < connection->usable_until;
    if (fresh && net::peek(connection->stream.socket()) == net::SocketState::kIdle) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

net::asio::awaitable<EngineConnectionPointer> EngineConnectionPool::acquire(
    const balancing::Engine& engine, net::TimePoint deadline) {
  if (auto kept = take_idle(engine.record.id)) co_return kept;
  net::Error error;
  const auto limit = std::min(deadline, net::Clock::now() + kConnectTimeout);
  co_return co_await connect(engine, limit, error);
}

net::asio::awaitable<EngineConnectionPointer> EngineConnectionPool::connect(
    const balancing::Engine& engine, net::TimePoint deadline, net::Error& error) {
  auto connection = std::make_shared<EngineConnection>(context_);
  connection->stream.expires_at(deadline);
  ++opened_;
  const auto endpoint = engine.record.endpoint;
  co_await connection->stream.async_connect(endpoint, net::awaiting(error));
  if (error) co_return nullptr;
  net::set_tcp_options(connection->stream.socket());
  co_return connection;
}

void EngineConnectionPool::release(const balancing::Engine& engine,
                                   EngineConnectionPointer connection) {
  if (engine.leaving) return;
  connection->stream.expires_never();
  idle_[engine.record.id].push_back(std::move(connection));
}

int EngineConnectionPool::idle(const std::string& engine_id) const {
  const auto entry = idle_.find(engine_id);
  return entry == idle_.end() ? 0 : static_cast<int>(entry->second.size());
}

void EngineConnectionPool::expire(net::TimePoint now) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& connections = entry->second;
    connections.erase(std::remove_if(connections.begin(), connections.end(),
                                     [now](const EngineConnectionPointer& connection) {
                                       return now >= connection->usable_until;
                                     }),
                      connections.end());
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace sailgate::serving

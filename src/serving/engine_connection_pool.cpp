#include "serving/engine_connection_pool.hpp"

#include <algorithm>

#include "net/socket_state.hpp"

namespace sailgate::serving {

namespace {

/// Timeout of the TCP handshake. After it the request goes to another engine.
constexpr net::Millis kConnectTimeout{600};
/// A repeat of a request waits so long for word of the engine that it was sent to before.
constexpr net::Millis kProbeTimeout{40};
/// Lifetime of an idle connection that has not carried a request.
constexpr net::Millis kProbeIdleTime{1000};

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
  co_return co_await connect(engine.record.endpoint, limit, error);
}

net::asio::awaitable<EngineConnectionPointer> EngineConnectionPool::connect(net::Endpoint endpoint,
                                                                            net::TimePoint deadline,
                                                                            net::Error& error) {
  auto connection = std::make_shared<EngineConnection>(context_);
  connection->stream.expires_at(deadline);
  ++opened_;
  co_await connection->stream.async_connect(endpoint, net::awaiting(error));
  if (error) co_return nullptr;
  net::set_tcp_options(connection->stream.socket());
  co_return connection;
}

net::asio::awaitable<balancing::EngineFate> EngineConnectionPool::probe(
    const balancing::Engine& engine) {
  net::Error error;
  const auto limit = net::Clock::now() + kProbeTimeout;
  auto connection = co_await connect(engine.record.endpoint, limit, error);
  if (error == net::asio::error::connection_refused) co_return balancing::EngineFate::kEnded;
  if (connection == nullptr) co_return balancing::EngineFate::kUnknown;
  connection->usable_until = net::Clock::now() + kProbeIdleTime;
  release(engine, std::move(connection));
  co_return balancing::EngineFate::kAlive;
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

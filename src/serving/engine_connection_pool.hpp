/// @file Kept connections to engines. A new connection is dear, a stale one loses requests.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancing/engine.hpp"
#include "net/asio.hpp"

namespace sailgate::serving {

/// A connection that carries one request at a time.
struct EngineConnection {
  explicit EngineConnection(net::asio::io_context& context) : stream(context) {}
  net::beast::tcp_stream stream;
  net::beast::flat_buffer buffer;
  net::TimePoint usable_until{};  ///< while idle: the engine keeps it open this long
  bool reused = false;
};

using EngineConnectionPointer = std::shared_ptr<EngineConnection>;

/// Idle connections by engine incarnation. Not thread-safe.
class EngineConnectionPool {
 public:
  explicit EngineConnectionPool(net::asio::io_context& context) : context_(context) {}

  /// A kept connection that is open and quiet, or a new one.
  /// @return nullptr when the engine cannot be connected to before `deadline`.
  net::asio::awaitable<EngineConnectionPointer> acquire(const balancing::Engine& engine,
                                                        net::TimePoint deadline);
  /// Keeps a connection whose last answer was read to its end.
  void release(const balancing::Engine& engine, EngineConnectionPointer connection);
  /// Closes the idle connections to an engine.
  void drop(const std::string& engine_id) { idle_.erase(engine_id); }
  /// Closes idle connections whose time is over.
  void expire(net::TimePoint now);

  /// Idle connections to an engine.
  int idle(const std::string& engine_id) const;
  std::uint64_t opened() const { return opened_; }

 private:
  EngineConnectionPointer take_idle(const std::string& engine_id);

  net::asio::io_context& context_;
  std::unordered_map<std::string, std::vector<EngineConnectionPointer>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace sailgate::serving

/// @file Pool of idle connections to engines.
///
/// Opening a connection adds latency to a request; sending on one that the engine is about to close
/// can lose the request.
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
  static constexpr std::size_t kMaxUnreadBytes = 256U << 10U;

  explicit EngineConnection(net::asio::io_context& context) : stream(context) {}
  net::beast::tcp_stream stream;
  /// Unread input; a message part that does not fit, such as an endless chunk header, is an error.
  net::beast::flat_buffer buffer{kMaxUnreadBytes};
  net::TimePoint usable_until{};  ///< while idle: until when the engine keeps it open
  bool reused = false;            ///< taken from the pool rather than newly opened
};

using EngineConnectionPointer = std::shared_ptr<EngineConnection>;

/// Idle connections by engine run (see balancing::EngineRecord::id). Not thread-safe.
class EngineConnectionPool {
 public:
  explicit EngineConnectionPool(net::asio::io_context& context) : context_(context) {}

  /// Returns an idle connection that is still open and has no unread input, or opens a new one.
  /// @return nullptr if no connection could be established before `deadline`.
  net::asio::awaitable<EngineConnectionPointer> acquire(const balancing::Engine& engine,
                                                        net::TimePoint deadline);
  /// Opens a new connection. @param error why there is none. @return nullptr on failure.
  net::asio::awaitable<EngineConnectionPointer> connect(const balancing::Engine& engine,
                                                        net::TimePoint deadline, net::Error& error);
  /// Returns a connection to the pool. Its last response must have been read completely.
  void release(const balancing::Engine& engine, EngineConnectionPointer connection);
  /// Closes all idle connections to an engine.
  void drop(const std::string& engine_id) { idle_.erase(engine_id); }
  /// Closes idle connections whose `usable_until` has passed.
  void expire(net::TimePoint now);

  /// Number of idle connections to an engine.
  int idle(const std::string& engine_id) const;
  /// Number of connection attempts since the start, successful or not.
  std::uint64_t opened() const { return opened_; }

 private:
  EngineConnectionPointer take_idle(const std::string& engine_id);

  net::asio::io_context& context_;
  std::unordered_map<std::string, std::vector<EngineConnectionPointer>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace sailgate::serving

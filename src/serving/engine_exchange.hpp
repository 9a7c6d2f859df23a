/// @file One HTTP exchange with an engine, from connecting to the last byte of the response.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "balancing/engine.hpp"
#include "net/http_client.hpp"
#include "net/response_reader.hpp"
#include "serving/edge_protocol.hpp"
#include "serving/engine_connection_pool.hpp"

namespace sailgate::serving {

/// Outcome of sending a request and reading the response head.
enum class OpenOutcome {
  kAnswered,  ///< head() is the engine's response to this request
  kNotSent,   ///< no connection; no part of the request was sent
  kBroken,    ///< the request may have run; its response is lost
  kTimedOut,  ///< the request may have run; no response before the deadline
  kAborted,   ///< abort() was called
};

enum class ReadOutcome {
  kData,
  kEnd,     ///< the response is complete
  kBroken,  ///< the response ended prematurely
  kTimedOut,
  kAborted,
};

/// Not thread-safe. Destruction without finish() closes the connection, so that the engine cancels
/// the request.
class EngineExchange {
 public:
  EngineExchange(EngineConnectionPool& pool, const EdgeProtocol& protocol,
                 std::shared_ptr<balancing::Engine> engine, net::TimePoint deadline);
  EngineExchange(const EngineExchange&) = delete;
  EngineExchange& operator=(const EngineExchange&) = delete;
  ~EngineExchange();

  /// Sends the request and reads the response head. Skips responses to other requests.
  net::asio::awaitable<OpenOutcome> open(std::shared_ptr<const net::TextRequest> request,
                                         std::string request_id);
  /// Appends the next bytes of the response body to `body`.
  net::asio::awaitable<ReadOutcome> read_some(std::string& body);
  /// Reads and discards the rest of the body, unless it is larger than `limit`, takes longer than
  /// `until` or has no length; then the connection cannot be used any more.
  net::asio::awaitable<ReadOutcome> skip_body(std::size_t limit, net::TimePoint until);
  /// Returns the connection to the pool if the response was read completely and the connection is
  /// reusable.
  void finish();
  /// Closes the connection; a pending operation ends with kAborted.
  void abort();

  const net::http::response_header<>& head() const { return parser_->get().base(); }
  const AnswerFacts& facts() const { return facts_; }
  balancing::Engine& engine() { return *engine_; }
  const balancing::Engine& engine() const { return *engine_; }
  const std::shared_ptr<balancing::Engine>& engine_pointer() const { return engine_; }
  /// Of the engine, when the exchange began: its entry may change meanwhile.
  const std::string& software_version() const { return software_version_; }
  /// Whether the last operation failed by a connection reset, after which the engine may still be
  /// working on the request.
  bool was_reset() const { return was_reset_; }
  /// Reason of the last failed operation, for the log.
  const std::string& failure() const { return failure_; }
  /// Time of construction, before a connection was acquired.
  net::TimePoint started_at() const { return began_at_; }
  net::Millis elapsed() const {
    return std::chrono::duration_cast<net::Millis>(net::Clock::now() - began_at_);
  }
  /// Whether any part of the request may have reached the engine.
  bool was_sent() const { return sent_; }
  /// Whether the response head was read.
  bool has_head() const { return parser_ && parser_->is_header_done(); }
  bool on_reused_connection() const { return connection_ != nullptr && connection_->reused; }

 private:
  /// Progress of sending the request.
  struct WriteState {
    explicit WriteState(const net::beast::tcp_stream::executor_type& executor)
        : ended(executor, net::TimePoint::max()) {}
    bool done = false;
    net::Error error;
    net::asio::steady_timer ended;  ///< cancelled when `done` is set
  };

  void start_write(const std::shared_ptr<const net::TextRequest>& request);
  net::asio::awaitable<ReadOutcome> read_head(bool head_request);
  /// Tells whether a body that ended with its connection is complete. Closes the connection.
  net::asio::awaitable<ReadOutcome> end_with_connection();
  ReadOutcome to_read_outcome(const net::Error& error);

  EngineConnectionPool& pool_;
  const EdgeProtocol& protocol_;
  std::shared_ptr<balancing::Engine> engine_;
  std::string software_version_;
  net::TimePoint began_at_ = net::Clock::now();
  net::TimePoint deadline_;
  EngineConnectionPointer connection_;
  std::shared_ptr<WriteState> write_;  ///< nullptr before the request is sent
  std::optional<net::ResponseParser> parser_;
  net::Error read_error_;  ///< the socket reports an error only once
  AnswerFacts facts_;
  std::string failure_;
  bool sent_ = false;
  bool aborted_ = false;
  bool was_reset_ = false;
  bool response_complete_ = false;
};

}  // namespace sailgate::serving

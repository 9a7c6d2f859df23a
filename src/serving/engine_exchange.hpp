/// @file One request at one engine, from the connection to the last byte of the answer.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "balancing/engine.hpp"
#include "net/http_client.hpp"
#include "serving/edge_protocol.hpp"
#include "serving/engine_connection_pool.hpp"

namespace sailgate::serving {

/// How the start of an exchange went.
enum class OpenOutcome {
  kAnswered,  ///< head() is the engine's answer to this request
  kNotSent,   ///< no connection: the engine has seen nothing of the request
  kBroken,    ///< the request may have run; its answer is lost
  kTimedOut,  ///< the request may have run; no answer before the deadline
  kAborted,   ///< abort() was called
};

enum class ReadOutcome {
  kData,
  kEnd,     ///< the answer is whole
  kBroken,  ///< the answer ended early
  kTimedOut,
  kAborted,
};

/// Not thread-safe. Destroying it without finish() closes the connection, so that the engine drops
/// the request.
class EngineExchange {
 public:
  EngineExchange(EngineConnectionPool& pool, const EdgeProtocol& protocol,
                 std::shared_ptr<balancing::Engine> engine, net::TimePoint deadline);
  EngineExchange(const EngineExchange&) = delete;
  EngineExchange& operator=(const EngineExchange&) = delete;
  ~EngineExchange();

  /// Sends the request and reads the head of its answer. Answers to other requests are skipped.
  net::asio::awaitable<OpenOutcome> open(std::shared_ptr<const net::TextRequest> request,
                                         std::string request_id);
  /// Appends the next bytes of the body to `body`.
  net::asio::awaitable<ReadOutcome> read_some(std::string& body);
  /// Keeps the connection when the answer was read to a clean end.
  void finish();
  /// Closes the connection; a pending operation ends with kAborted.
  void abort();

  const net::http::response_header<>& head() const { return parser_->get().base(); }
  const AnswerFacts& facts() const { return facts_; }
  balancing::Engine& engine() { return *engine_; }
  const balancing::Engine& engine() const { return *engine_; }
  /// Whether a reset of the connection ended the last operation: the engine may live and work on.
  bool was_reset() const { return was_reset_; }
  /// What ended the last operation that failed, for the log.
  const std::string& failure() const { return failure_; }
  /// When it was begun, before a connection was there.
  net::TimePoint started_at() const { return began_at_; }
  bool on_reused_connection() const { return connection_ != nullptr && connection_->reused; }

 private:
  using Parser = net::http::response_parser<net::http::string_body>;
  struct WriteState {
    bool done = false;
    net::Error error;
  };

  void start_write(const std::shared_ptr<const net::TextRequest>& request);
  net::asio::awaitable<ReadOutcome> read_head(bool head_request);
  net::asio::awaitable<ReadOutcome> skip_body();
  ReadOutcome to_read_outcome(const net::Error& error);

  EngineConnectionPool& pool_;
  const EdgeProtocol& protocol_;
  std::shared_ptr<balancing::Engine> engine_;
  net::TimePoint began_at_ = net::Clock::now();
  net::TimePoint deadline_;
  EngineConnectionPointer connection_;
  std::shared_ptr<WriteState> write_ = std::make_shared<WriteState>();
  std::optional<Parser> parser_;
  AnswerFacts facts_;
  std::string failure_;
  bool aborted_ = false;
  bool was_reset_ = false;
  bool response_complete_ = false;
};

}  // namespace sailgate::serving

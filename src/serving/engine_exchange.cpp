#include "serving/engine_exchange.hpp"

#include <charconv>

namespace sailgate::serving {

namespace {

namespace http = net::http;

constexpr net::ResponseLimits kResponseLimits{64U << 10U, 32U << 20U};
/// Maximum number of responses to other requests that are skipped before the expected one.
constexpr int kMaxForeignResponses = 4;
/// Lifetime of an idle connection if the response has no Keep-Alive timeout.
constexpr net::Millis kDefaultIdleTime{1500};
/// An idle connection is retired this long before the engine would close it.
constexpr net::Millis kIdleMargin{800};

/// How long the connection may stay idle in the pool, from "Keep-Alive: timeout=SECONDS".
net::Millis idle_time(const http::response_header<>& head) {
  const auto value = head["Keep-Alive"];
  const std::string_view text(value.data(), value.size());
  constexpr std::string_view kTimeout = "timeout=";
  const auto start = text.find(kTimeout);
  if (start == std::string_view::npos) return kDefaultIdleTime;
  int seconds = 0;
  std::from_chars(text.data() + start + kTimeout.size(), text.data() + text.size(), seconds);
  return std::max(
      std::chrono::duration_cast<net::Millis>(std::chrono::seconds(seconds)) - kIdleMargin,
      net::Millis(0));
}

}  // namespace

EngineExchange::EngineExchange(EngineConnectionPool& pool, const EdgeProtocol& protocol,
                               std::shared_ptr<balancing::Engine> engine, net::TimePoint deadline)
    : pool_(pool),
      protocol_(protocol),
      engine_(std::move(engine)),
      software_version_(engine_->record.software_version),
      deadline_(deadline) {
  ++engine_->in_flight;
}

EngineExchange::~EngineExchange() {
  --engine_->in_flight;
  if (connection_ != nullptr) connection_->stream.close();
}

ReadOutcome EngineExchange::to_read_outcome(const net::Error& error) {
  failure_ = error.message();
  was_reset_ =
      error == net::asio::error::connection_reset || error == net::asio::error::broken_pipe;
  if (aborted_) return ReadOutcome::kAborted;
  if (error == net::beast::error::timeout) return ReadOutcome::kTimedOut;
  return ReadOutcome::kBroken;
}

void EngineExchange::start_write(const std::shared_ptr<const net::TextRequest>& request) {
  sent_ = true;
  auto connection = connection_;
  auto& stream = connection->stream;
  write_ = std::make_shared<WriteState>(stream.get_executor());
  auto state = write_;
  const auto& message = *request;
  http::async_write(stream, message,
                    [connection, state, request](const net::Error& error, std::size_t) {
                      state->done = true;
                      state->error = error;
                      state->ended.cancel();
                    });
}

net::asio::awaitable<ReadOutcome> EngineExchange::read_head(bool head_request) {
  const auto error =
      co_await net::read_final_head(connection_->stream, connection_->buffer, parser_,
                                    kResponseLimits, head_request, &engine_->heard_at);
  if (error) co_return to_read_outcome(error);
  // NOTE: The parser must not be eager. An eager parser continues into the next chunk header, which
  // starts with the line end of the previous chunk, and delivers no data until the end of the
  // response.
  facts_ = protocol_.inspect(head());
  co_return ReadOutcome::kData;
}

net::asio::awaitable<ReadOutcome> EngineExchange::skip_body(std::size_t limit,
                                                            net::TimePoint until) {
  if (parser_->need_eof()) co_return ReadOutcome::kBroken;
  connection_->stream.expires_at(std::min(until, deadline_));
  std::string ignored;
  std::size_t skipped = 0;
  auto outcome = ReadOutcome::kData;
  while (outcome == ReadOutcome::kData) {
    ignored.clear();
    outcome = co_await read_some(ignored);
    skipped += ignored.size();
    if (skipped > limit) co_return ReadOutcome::kBroken;
  }
  co_return outcome;
}

net::asio::awaitable<OpenOutcome> EngineExchange::open(
    std::shared_ptr<const net::TextRequest> request, std::string request_id) {
  connection_ = co_await pool_.acquire(*engine_, deadline_);
  if (aborted_) co_return OpenOutcome::kAborted;
  if (connection_ == nullptr) co_return OpenOutcome::kNotSent;
  connection_->stream.expires_at(deadline_);
  const bool head_request = request->method() == http::verb::head;
  start_write(request);
  for (int skipped_count = 0; skipped_count <= kMaxForeignResponses; ++skipped_count) {
    const auto outcome = co_await read_head(head_request);
    if (outcome == ReadOutcome::kAborted) co_return OpenOutcome::kAborted;
    if (outcome == ReadOutcome::kTimedOut) co_return OpenOutcome::kTimedOut;
    if (outcome != ReadOutcome::kData) co_return OpenOutcome::kBroken;
    const bool matches =
        facts_.request_id == request_id || (facts_.request_id.empty() && facts_.not_run);
    if (matches) co_return OpenOutcome::kAnswered;
    failure_ = "response to another request: " + facts_.request_id;
    const auto skipped = co_await skip_body(kResponseLimits.body_bytes, deadline_);
    if (skipped == ReadOutcome::kAborted) co_return OpenOutcome::kAborted;
    if (skipped == ReadOutcome::kTimedOut) co_return OpenOutcome::kTimedOut;
    if (skipped != ReadOutcome::kEnd) co_return OpenOutcome::kBroken;
  }
  co_return OpenOutcome::kBroken;
}

net::asio::awaitable<ReadOutcome> EngineExchange::read_some(std::string& body) {
  while (true) {
    auto& received = parser_->get().body();
    if (!received.empty()) {
      body.append(received);
      received.clear();
      co_return ReadOutcome::kData;
    }
    if (parser_->is_done()) {
      if (parser_->need_eof() && !response_complete_) {
        const auto end = co_await end_with_connection();
        if (end != ReadOutcome::kEnd) co_return end;
      }
      response_complete_ = true;
      co_return ReadOutcome::kEnd;
    }
    if (read_error_) co_return to_read_outcome(read_error_);
    co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                   net::awaiting(read_error_));
    if (read_error_) continue;
    engine_->heard_at = net::Clock::now();
  }
}

net::asio::awaitable<ReadOutcome> EngineExchange::end_with_connection() {
  // A reset is reported to the read or to the write of the request, whichever comes first; the
  // other one sees an ordinary end. Closing ends a write that still waits for the engine.
  connection_->stream.close();
  if (!write_->done) {
    net::Error ignored;
    co_await write_->ended.async_wait(net::awaiting(ignored));
  }
  if (aborted_) co_return ReadOutcome::kAborted;
  const auto& error = write_->error;
  // An engine that ended its response in order may read no more of the request: a reset after that
  // is reported as a broken pipe.
  const bool in_order = !error || error == net::asio::error::operation_aborted ||
                        error == net::asio::error::broken_pipe;
  co_return in_order ? ReadOutcome::kEnd : to_read_outcome(error);
}

void EngineExchange::finish() {
  if (!response_complete_ || aborted_ || connection_ == nullptr) return;
  const bool clean =
      write_->done && !write_->error && parser_->keep_alive() && connection_->buffer.size() == 0;
  if (!clean) return;
  connection_->usable_until = net::Clock::now() + idle_time(head());
  pool_.release(*engine_, std::move(connection_));
  connection_ = nullptr;
}

void EngineExchange::abort() {
  aborted_ = true;
  if (connection_ != nullptr) connection_->stream.close();
}

}  // namespace sailgate::serving

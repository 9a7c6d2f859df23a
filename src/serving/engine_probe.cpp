#include "serving/engine_probe.hpp"

#include "net/endpoint.hpp"
#include "net/response_reader.hpp"

namespace sailgate::serving {

namespace {

namespace http = net::http;
using balancing::EngineFate;

constexpr net::ResponseLimits kAnswerLimits{16U << 10U, 16U << 10U};
/// Lifetime of the probe's connection in the pool.
constexpr net::Millis kIdleTime{1000};

}  // namespace

net::asio::awaitable<EngineFate> probe_engine(NodeState& state, balancing::EnginePointer engine,
                                              std::string health_path, net::Millis timeout) {
  net::Error error;
  const auto limit = net::Clock::now() + timeout;
  auto connection = co_await state.connections.connect(*engine, limit, error);
  if (error == net::asio::error::connection_refused) co_return EngineFate::kEnded;
  if (connection == nullptr) co_return EngineFate::kUnknown;
  connection->usable_until = net::Clock::now() + kIdleTime;
  if (health_path.empty()) {
    state.connections.release(*engine, std::move(connection));
    co_return EngineFate::kAlive;
  }
  http::request<http::empty_body> request(http::verb::get, health_path, 11);
  request.set(http::field::host, net::format_endpoint(engine->record.endpoint));
  auto& stream = connection->stream;
  co_await http::async_write(stream, request, net::awaiting(error));
  http::response<http::string_body> response;
  if (!error) {
    response = co_await net::read_response(stream, connection->buffer, kAnswerLimits, error);
  }
  if (error) co_return EngineFate::kUnknown;
  const auto instance = state.protocol.inspect(response.base()).instance;
  if (!instance.empty() && instance != engine->record.entry_key()) co_return EngineFate::kEnded;
  engine->heard_at = net::Clock::now();
  if (response.keep_alive()) state.connections.release(*engine, std::move(connection));
  co_return EngineFate::kAlive;
}

}  // namespace sailgate::serving

/// @file An engine on loopback that answers as a test tells it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.hpp"

namespace sailgate::test {

/// What the engine does with one request.
struct EngineReply {
  std::string bytes;         ///< written as they are
  bool close_after = false;  ///< the connection ends after them
  bool hold = false;         ///< nothing follows until the caller closes
  bool reset_after = false;  ///< the connection is reset after them
};

class FakeEngine {
 public:
  using Script = std::function<EngineReply(const net::TextRequest&)>;

  explicit FakeEngine(net::asio::io_context& context);
  void set_script(Script script) { script_ = std::move(script); }
  /// Connections are refused from now on.
  void stop_accepting() { acceptor_.close(); }
  net::Endpoint endpoint() const { return acceptor_.local_endpoint(); }

  const std::vector<net::TextRequest>& requests() const { return requests_; }
  int connections() const { return connections_; }
  int abandoned() const { return abandoned_; }  ///< held requests whose caller closed

 private:
  net::asio::awaitable<void> accept();
  net::asio::awaitable<void> serve(std::shared_ptr<net::beast::tcp_stream> stream);

  net::asio::io_context& context_;
  net::asio::ip::tcp::acceptor acceptor_;
  Script script_;
  std::vector<net::TextRequest> requests_;
  int connections_ = 0;
  int abandoned_ = 0;
};

/// A whole answer of an engine. @param extra header lines, each with its line end.
std::string engine_answer(const net::TextRequest& request, const std::string& body,
                          const std::string& extra = "", int status = 200);
/// The head of a chunked event stream.
std::string stream_head(const net::TextRequest& request);
/// One chunk that holds one event.
std::string event_chunk(int id, const std::string& data);
inline const char* const kLastChunk = "0\r\n\r\n";
/// An engine's refusal that promises it did not run the request.
std::string not_run_answer(int status = 503);

}  // namespace sailgate::test

/// @file An engine on loopback that answers as a test tells it.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"

namespace sailgate::test {

/// How the process of an engine ends.
enum class EngineEnd {
  kNone,
  kClose,       ///< its connections are closed
  kReset,       ///< its connections are reset
  kUnattended,  ///< its connections are closed; its address accepts further ones, which nobody
                ///< reads
  kSilence,     ///< its connections stay open, and nothing follows on them
};

/// What the engine does with one request.
struct EngineReply {
  std::string bytes;                 ///< written as they are
  bool close_after = false;          ///< the connection ends after them
  bool hold = false;                 ///< nothing follows until the caller closes
  bool reset_after = false;          ///< the connection is reset after them
  EngineEnd end = EngineEnd::kNone;  ///< the process ends after them
  net::Millis end_delay{0};          ///< the connection breaks at once, the process ends later
  net::Millis delay{0};              ///< of them
  std::string endless{};             ///< written again and again until the caller closes
  net::Millis endless_pause{0};      ///< between two of these
};

/// Answers health checks by itself unless a script does; another script answers everything else.
class FakeEngine {
 public:
  using Script = std::function<EngineReply(const net::TextRequest&)>;

  explicit FakeEngine(net::asio::io_context& context);
  void set_script(Script script) { script_ = std::move(script); }
  /// Answers health checks.
  void set_health_script(Script script) { health_script_ = std::move(script); }
  /// Connections are refused from now on.
  void stop_accepting() { acceptor_.close(); }
  /// Ends the process: connections are refused, the open ones break.
  void end(EngineEnd how);
  /// A new process accepts connections at the address of the one that ended.
  void start_again();
  net::Endpoint endpoint() const { return endpoint_; }

  const std::vector<net::TextRequest>& requests() const { return requests_; }
  int connections() const { return connections_; }
  int abandoned() const { return abandoned_; }        ///< held requests whose caller closed
  int closed_after() const { return closed_after_; }  ///< replies whose `close_after` was done

 private:
  using Stream = std::shared_ptr<net::beast::tcp_stream>;

  /// What becomes of a connection after a reply.
  enum class Next {
    kRead,
    kClose,
    kNothing,  ///< the process has ended and did with it what its end says
  };

  net::asio::awaitable<void> accept();
  net::asio::awaitable<void> serve(Stream stream);
  EngineReply reply_to(const net::TextRequest& request);
  net::asio::awaitable<Next> carry_out(Stream stream, EngineReply reply);
  net::asio::awaitable<void> end_later(EngineEnd how, net::Millis delay);
  net::asio::awaitable<void> write_without_end(Stream stream, EngineReply reply);
  static void reset(net::beast::tcp_stream& stream);

  net::asio::io_context& context_;
  net::asio::ip::tcp::acceptor acceptor_;
  net::Endpoint endpoint_ = acceptor_.local_endpoint();
  std::set<Stream> open_;
  std::set<Stream> silent_;  ///< of processes that ended without a word
  Script script_;
  Script health_script_;  ///< empty: healthy
  std::vector<net::TextRequest> requests_;
  int connections_ = 0;
  int abandoned_ = 0;
  int closed_after_ = 0;
};

/// Header line that names the request which an answer belongs to.
std::string id_line(const net::TextRequest& request);
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

/// @file Blocking HTTP client that tells what is known about a request that failed.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/http_message.hpp"

namespace sailgate::http {

class ClientConnection;

/// What became of a request.
enum class Delivery {
  kAnswered,  ///< a status line came back; a streamed body may still have been cut
  kUnsent,    ///< no connection could be made: nothing reached the server
  kLost,      ///< sent, or perhaps sent, and no whole answer
};

/// Result of a request.
struct HttpResult {
  Delivery delivery = Delivery::kLost;
  HttpResponse response;
  bool body_complete = false;
  std::string error;
};

/// Client for many servers. Thread-safe; each exchange blocks its caller.
class HttpClient {
 public:
  /// Called with each line of a streamed answer; return false to break the stream off.
  using LineHandler = std::function<bool(const std::string& line)>;

  /// Sends a request to `address` ("host:port") and waits for the whole answer.
  /// @param timeout of the whole exchange.
  /// @param fresh_connection uses a connection of its own: a request on a kept connection that
  /// turns out closed is repeated, which must not happen to a call that may run only once
  /// (docs/decisions/0005-no-silent-repeat.md).
  HttpResult send(const std::string& address, const HttpRequest& request,
                  std::chrono::milliseconds timeout, bool fresh_connection = false);

  /// Same, handing the answer's lines over as they arrive. The body of an answer other than 200 is
  /// collected in the result.
  HttpResult stream(const std::string& address, const HttpRequest& request,
                    std::chrono::milliseconds timeout, const LineHandler& on_line);

 private:
  /// @return nullptr if no kept connection to the address is usable.
  std::shared_ptr<ClientConnection> take_kept(const std::string& address);
  void keep(const std::string& address, std::shared_ptr<ClientConnection> connection);

  std::mutex mutex_;
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> kept_;
};

}  // namespace sailgate::http

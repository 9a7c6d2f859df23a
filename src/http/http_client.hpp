/// @file Blocking HTTP client that tells what is known about a request that failed.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http/http_message.hpp"

namespace sailgate::http {

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

/// Client for many servers. Thread-safe. Must not be used on a thread of the HTTP library.
class HttpClient {
 public:
  /// Called with each line of a streamed answer; return false to break the stream off.
  using LineHandler = std::function<bool(const std::string& line)>;

  /// Sends a request to `address` ("host:port") and waits for the whole answer.
  /// @param fresh_connection uses a connection of its own: the library repeats a request by itself
  /// when a kept connection turns out closed, which must not happen to a call that may run only
  /// once (docs/decisions/0005-no-silent-repeat.md). Kept connections are one per address and
  /// timeout, so that a timeout that differs from request to request needs a fresh one too.
  HttpResult send(const std::string& address, const HttpRequest& request,
                  std::chrono::milliseconds timeout, bool fresh_connection = false);

  /// Same, handing the answer's lines over as they arrive. The body of an answer other than 200 is
  /// collected in the result.
  HttpResult stream(const std::string& address, const HttpRequest& request,
                    std::chrono::milliseconds timeout, const LineHandler& on_line);

 private:
  class Connection;
  std::shared_ptr<Connection> connection(const std::string& address,
                                         std::chrono::milliseconds timeout, bool fresh);

  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Connection>> connections_;
};

}  // namespace sailgate::http

/// @file HTTP server on the cpprestsdk listener; handlers run on a worker pool and may block.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/http_message.hpp"

namespace sailgate::http {

/// Answers one request, whole or as a stream of chunks. Used by one thread at a time.
class Responder {
 public:
  Responder() = default;
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  virtual ~Responder() = default;

  /// Sends a whole response; at most one of send() and begin_stream() per request.
  virtual void send(const HttpResponse& response) = 0;
  /// Sends status and headers; chunks follow.
  virtual void begin_stream(const HttpResponse& head) = 0;
  /// Sends one chunk at once. @return false when the client is gone.
  virtual bool write(const std::string& chunk) = 0;
  /// Ends the stream.
  virtual void end_stream() = 0;
};

/// Listens on one address. Thread-safe after construction.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, Responder&)>;

  struct Options {
    std::string host = "127.0.0.1";
    std::int32_t port = 0;
    std::size_t workers = 32;
    std::size_t queue_limit = 256;       ///< requests that may wait for a worker
    std::size_t body_limit = 8U << 20U;  ///< bytes; larger bodies are answered with 413
    HttpResponse too_large;              ///< answer to a larger body
    HttpResponse busy;                   ///< answer when the queue is full
  };

  /// Starts to listen. @throws std::exception when the address cannot be used.
  HttpServer(Options options, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /// Closes the listener after the running handlers have ended.
  ~HttpServer();

  /// Requests queued or being handled.
  std::size_t pending() const;

 private:
  class Listener;
  std::unique_ptr<Listener> listener_;
};

/// Threads of the HTTP library; call once, before anything else of this module.
void initialize_http(std::size_t threads);

}  // namespace sailgate::http

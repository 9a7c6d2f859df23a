/// @file The HTTP interface of callers (docs/API.md).
#pragma once

#include <atomic>
#include <string>

#include "api/call_runner.hpp"
#include "api/statistics.hpp"
#include "http/http_server.hpp"
#include "node/node_runtime.hpp"

namespace sailgate::api {

/// What the log calls a request.
struct RequestName {
  const char* route = "";
  std::string program;
  std::string key;  ///< of a call
};

/// Parses requests, has them decided, answers. Thread-safe.
class CallerApi {
 public:
  CallerApi(node::NodeRuntime& node, CallRunner& runner, Statistics& statistics,
            observe::SharedLog& log)
      : node_(node), runner_(runner), statistics_(statistics), log_(log) {}

  /// Answers one request; never throws.
  void handle(const http::HttpRequest& request, http::Responder& responder);
  /// From now on new programs and calls are refused; look-ups and endings still work.
  void begin_stop() { stopping_ = true; }
  /// Calls that are being answered.
  std::size_t active_calls() const { return active_calls_; }

  /// Largest request body in bytes.
  static constexpr std::size_t kBodyLimit = program::kMaxTextBytes;

 private:
  void dispatch(const http::HttpRequest& request, http::Responder& responder);
  void handle_program(const http::HttpRequest& request, http::Responder& responder);
  void open_program(const http::HttpRequest& request, http::Responder& responder);
  void call(const http::HttpRequest& request, http::Responder& responder);
  void look_up(const http::HttpRequest& request, http::Responder& responder);
  void pause(const http::HttpRequest& request, http::Responder& responder);
  void read(const http::HttpRequest& request, http::Responder& responder);
  void end(const http::HttpRequest& request, http::Responder& responder);
  void status(http::Responder& responder);
  void attempt(const std::string& id, http::Responder& responder);
  void configuration(const http::HttpRequest& request, http::Responder& responder);
  std::string tenant_of(const http::HttpRequest& request) const;
  void check_opening(const wire::ProgramOpened& opened) const;
  bool refuse_new_work(bool first_send, http::Responder& responder);
  /// Counts and logs how a request was answered.
  void note(const RequestName& name, const wire::ProgramReply& reply);
  void answer(const RequestName& name, const wire::ProgramReply& reply, http::Responder& responder);
  void refuse(wire::ErrorKind::type kind, const std::string& detail, http::Responder& responder);
  wire::ProgramReply ask(const wire::ProgramRequest& request);

  node::NodeRuntime& node_;
  CallRunner& runner_;
  Statistics& statistics_;
  observe::SharedLog& log_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> active_calls_{0};
};

}  // namespace sailgate::api

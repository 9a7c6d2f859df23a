/// @file The HTTP interface of callers (docs/API.md).
#pragma once

#include <atomic>
#include <string>

#include "gateway/call_runner.hpp"
#include "gateway/statistics.hpp"
#include "http/http_server.hpp"
#include "node/node_runtime.hpp"

namespace sailgate::gateway {

/// Parses requests, asks the slot's leader, answers. Thread-safe.
class CallerApi {
 public:
  CallerApi(node::NodeRuntime& node, CallRunner& runner, Statistics& statistics)
      : node_(node), runner_(runner), statistics_(statistics) {}

  /// Answers one request; never throws.
  void handle(const http::HttpRequest& request, http::Responder& responder);
  /// From now on new programs and calls are refused; look-ups and endings still work.
  void begin_stop() { stopping_ = true; }
  /// Calls that are being answered.
  std::size_t active_calls() const { return active_calls_; }

  /// Largest request body in bytes.
  static constexpr std::size_t kBodyLimit = 4U << 20U;

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
  void configuration(const http::HttpRequest& request, http::Responder& responder);
  std::string tenant_of(const http::HttpRequest& request) const;
  void check_opening(const wire::ProgramOpened& opened) const;
  bool refuse_new_work(bool first_send, http::Responder& responder);
  void count(const wire::ProgramReply& reply);
  void answer(const wire::ProgramReply& reply, http::Responder& responder);
  void refuse(wire::ErrorKind::type kind, const std::string& detail, http::Responder& responder);
  wire::ProgramReply ask(const std::string& program, const wire::ProgramRequest& request);

  node::NodeRuntime& node_;
  CallRunner& runner_;
  Statistics& statistics_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> active_calls_{0};
};

}  // namespace sailgate::gateway

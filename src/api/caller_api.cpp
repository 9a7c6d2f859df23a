#include "api/caller_api.hpp"

#include "api/answers.hpp"
#include "api/call_request.hpp"
#include "base/error_table.hpp"
#include "base/refusal.hpp"
#include "http/json_body.hpp"
#include "node/bundle_file.hpp"

namespace sailgate::api {
namespace {

using Kind = wire::ErrorKind;

constexpr base::Millis kRequestPatience = 8000;
constexpr base::Millis kRollPatience = 20'000;
constexpr int kCreated = 201;
constexpr std::size_t kProgramDepth = 3;  // v1/programs/{id}
constexpr std::size_t kActionDepth = 4;   // v1/programs/{id}/calls
constexpr std::size_t kKeyDepth = 5;      // v1/programs/{id}/calls/{key}

/// Token of the Authorization header, or an empty string.
std::string bearer_token(const http::HttpRequest& request) {
  const std::string prefix = "Bearer ";
  const auto header = request.header("authorization");
  return header.rfind(prefix, 0) == 0 ? header.substr(prefix.size()) : "";
}

/// Sends pieces as events once there is one; a refusal before that is a plain answer.
class EventStream {
 public:
  explicit EventStream(http::Responder& responder) : responder_(responder) {}

  bool piece(const std::string& text) {
    begin();
    return responder_.write(piece_event(text));
  }

  void finish(const wire::ProgramReply& reply) {
    const auto whole = reply_answer(reply);
    if (!begun_ && !reply.__isset.outcome) {
      responder_.send(whole);
      return;
    }
    begin();
    responder_.write(event_text(reply.__isset.outcome ? "end" : "error", whole.body));
    responder_.end_stream();
  }

 private:
  void begin() {
    if (begun_) return;
    begun_ = true;
    http::HttpResponse head;
    head.content_type = "text/event-stream";
    responder_.begin_stream(head);
  }

  http::Responder& responder_;
  bool begun_ = false;
};

/// Counts a call while it is being answered.
class ActiveCall {
 public:
  explicit ActiveCall(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
  ActiveCall(const ActiveCall&) = delete;
  ActiveCall& operator=(const ActiveCall&) = delete;
  ~ActiveCall() { --count_; }

 private:
  std::atomic<std::size_t>& count_;
};

}  // namespace

void CallerApi::handle(const http::HttpRequest& request, http::Responder& responder) {
  try {
    dispatch(request, responder);
  } catch (const http::BadBody& error) {
    refuse(error.kind(), error.what(), responder);
  } catch (const std::exception& error) {
    log_.event("internal_error", [&](auto& line) { line.with("why", error.what()); });
    refuse(Kind::kInternal, "", responder);
  }
}

void CallerApi::dispatch(const http::HttpRequest& request, http::Responder& responder) {
  const auto& path = request.path;
  if (path.size() == 1 && path[0] == "metrics") {
    http::HttpResponse page;
    page.content_type = "text/plain; version=0.0.4";
    page.body = statistics_.render(node_.status());
    responder.send(page);
    return;
  }
  const bool versioned = path.size() >= 2 && path[0] == "v1";
  if (versioned && path.size() == 2 && path[1] == "status") return status(responder);
  if (versioned && path.size() == 2 && path[1] == "configuration") {
    return configuration(request, responder);
  }
  if (versioned && path.size() == 3 && path[1] == "attempts") return attempt(path[2], responder);
  if (versioned && path[1] == "programs") return handle_program(request, responder);
  refuse(Kind::kUnknownResource, "", responder);
}

void CallerApi::handle_program(const http::HttpRequest& request, http::Responder& responder) {
  const auto& path = request.path;
  const auto& method = request.method;
  const auto depth = path.size();
  const std::string action = depth >= kActionDepth ? path[3] : "";
  if (depth == 2) {
    if (method == "POST") return open_program(request, responder);
  } else if (depth == kProgramDepth) {
    if (method == "GET") return read(request, responder);
    if (method == "DELETE") return end(request, responder);
  } else if (depth == kActionDepth && action == "calls") {
    if (method == "POST") return call(request, responder);
  } else if (depth == kKeyDepth && action == "calls") {
    if (method == "GET") return look_up(request, responder);
  } else if (depth == kActionDepth && action == "pause") {
    if (method == "POST") return pause(request, responder);
  } else {
    refuse(Kind::kUnknownResource, "", responder);
    return;
  }
  refuse(Kind::kMethodNotAllowed, "", responder);
}

std::string CallerApi::tenant_of(const http::HttpRequest& request) const {
  auto tenant = request.header("sailgate-tenant");
  if (tenant.empty() || tenant.size() > kLongestName) {
    throw http::BadBody(Kind::kUnauthorized, "the header Sailgate-Tenant must name the tenant");
  }
  if (!node_.admits(tenant, bearer_token(request))) {
    throw http::BadBody(Kind::kUnauthorized, "the token does not belong to the tenant");
  }
  return tenant;
}

/// @throws http::BadBody when the bundles in force do not allow this program.
void CallerApi::check_opening(const wire::ProgramOpened& opened) const {
  const auto rule = node_.program_rule(opened.tenant, opened.kind);
  if (!rule) throw http::BadBody(Kind::kUnauthorized, "no bundle in force lists this kind");
  if (opened.budget_tokens > rule->budget_limit_tokens) {
    throw http::BadBody(Kind::kBudgetExceeded, "the budget exceeds the limit of its kind");
  }
  if (opened.call_limit > rule->call_limit) {
    throw http::BadBody(Kind::kCallLimitReached, "the call limit exceeds that of its kind");
  }
}

/// Refuses new work while stopping or without a live configuration lease. Whether an earlier copy
/// of a repeated request runs elsewhere is not known here.
bool CallerApi::refuse_new_work(bool first_send, http::Responder& responder) {
  const bool live = node_.configuration_live();
  if (!stopping_ && live) return false;
  const auto kind = stopping_ ? Kind::kStopping : Kind::kConfigurationStale;
  const auto ran = first_send ? wire::Ran::kNotRun : wire::Ran::kUnknown;
  statistics_.count_refusal(kind);
  responder.send(refusal_answer(base::make_refusal(kind, ran)));
  return true;
}

// ---------------------------------------------------------------- routes

void CallerApi::open_program(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("open");
  const auto tenant = tenant_of(request);
  wire::OpenProgram open;
  open.program = parse_opening(tenant, request.body);
  if (refuse_new_work(false, responder)) return;
  check_opening(open.program);
  wire::ProgramRequest body;
  body.__set_open_program(open);
  const RequestName name{"open", open.program.program, ""};
  const auto reply = ask(body);
  if (reply.__isset.accepted) {
    note(name, reply);
    responder.send(accepted_answer(reply.accepted.program, kCreated));
    return;
  }
  answer(name, reply, responder);
}

void CallerApi::call(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("call");
  const auto tenant = tenant_of(request);
  const auto parsed = parse_call(request.path[2], tenant, request.body);
  if (refuse_new_work(parsed.first_send, responder)) return;
  const ActiveCall active(active_calls_);
  const RequestName name{"call", parsed.admit.call.program, parsed.admit.call.request_key};
  if (!parsed.stream) {
    answer(name, runner_.run(parsed.admit, parsed.first_send, parsed.deadline, {}), responder);
    return;
  }
  EventStream events(responder);
  const auto reply =
      runner_.run(parsed.admit, parsed.first_send, parsed.deadline,
                  [&events](const std::string& piece) { return events.piece(piece); });
  note(name, reply);
  events.finish(reply);
}

void CallerApi::look_up(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("look_up");
  wire::LookUpCall look_up;
  look_up.program = request.path[2];
  look_up.request_key = request.path[4];
  look_up.tenant = tenant_of(request);
  wire::ProgramRequest body;
  body.__set_look_up_call(look_up);
  answer({"look_up", look_up.program, look_up.request_key}, ask(body), responder);
}

void CallerApi::pause(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("pause");
  constexpr std::int64_t kLongestPause = 86'400'000;
  wire::ReportToolPause report;
  report.tenant = tenant_of(request);
  const auto json = http::parse_object(request.body);
  http::reject_unknown_fields(json, {"expected_ms"});
  report.pause.program = request.path[2];
  report.pause.expected_ms = http::integer_field(json, "expected_ms", 0, kLongestPause);
  wire::ProgramRequest body;
  body.__set_report_tool_pause(report);
  answer({"pause", report.pause.program, ""}, ask(body), responder);
}

void CallerApi::read(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("read");
  wire::ReadProgram read;
  read.program = request.path[2];
  read.tenant = tenant_of(request);
  wire::ProgramRequest body;
  body.__set_read_program(read);
  answer({"read", read.program, ""}, ask(body), responder);
}

void CallerApi::end(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("end");
  wire::EndProgram end;
  end.closed.program = request.path[2];
  end.closed.reason = "ended by its caller";
  end.tenant = tenant_of(request);
  wire::ProgramRequest body;
  body.__set_end_program(end);
  answer({"end", end.closed.program, ""}, ask(body), responder);
}

/// Operators only: GET reads what is in force here, POST rolls a signed bundle.
void CallerApi::configuration(const http::HttpRequest& request, http::Responder& responder) {
  statistics_.count_request("configuration");
  if (request.method == "GET") {
    responder.send(configuration_answer(node_.configuration(), node_.configuration_live()));
    return;
  }
  if (request.method != "POST") return refuse(Kind::kMethodNotAllowed, "", responder);
  const auto json = http::parse_object(request.body);
  wire::SignedBundle signed_bundle;
  try {
    signed_bundle = node::from_text(http::string_field(json, "signed_bundle", kBodyLimit));
  } catch (const http::BadBody&) {
    throw;
  } catch (const std::exception& error) {
    throw http::BadBody(Kind::kMalformedRequest, error.what());
  }
  answer({"roll", "", ""}, node_.roll(signed_bundle, kRollPatience), responder);
}

void CallerApi::status(http::Responder& responder) {
  using web::json::value;
  const auto status = node_.status();
  auto body = value::object();
  body["process"] = value::string(std::to_string(status.process_id));
  body["generation"] = value::number(status.generation);
  body["configuration_live"] = value::boolean(status.configuration_live);
  body["families_cached"] = value::number(static_cast<std::uint64_t>(status.families_cached));
  body["attempts_running"] = value::number(static_cast<std::uint64_t>(status.attempts_running));
  body["stopping"] = value::boolean(status.stopping);
  body["active_calls"] = value::number(static_cast<std::uint64_t>(active_calls_.load()));
  http::HttpResponse response;
  response.body = body.serialize();
  responder.send(response);
}

/// Other nodes ask whether this process runs an attempt.
void CallerApi::attempt(const std::string& id, http::Responder& responder) {
  std::int64_t attempt = 0;
  try {
    attempt = std::stoll(id);
  } catch (const std::exception&) {
    return refuse(Kind::kUnknownResource, "", responder);
  }
  auto body = web::json::value::object();
  body["running"] = web::json::value::boolean(node_.runs_attempt(attempt));
  http::HttpResponse response;
  response.body = body.serialize();
  responder.send(response);
}

// ---------------------------------------------------------------- answers

wire::ProgramReply CallerApi::ask(const wire::ProgramRequest& request) {
  return node_.execute(request, kRequestPatience);
}

void CallerApi::note(const RequestName& name, const wire::ProgramReply& reply) {
  const char* outcome = reply.__isset.view || reply.__isset.accepted ? "done" : "undecided";
  if (reply.__isset.outcome) {
    statistics_.count_outcome(reply.outcome.outcome);
    outcome = reply.outcome.outcome == wire::Outcome::kSucceeded ? "succeeded" : "failed";
  }
  if (reply.__isset.refusal) {
    statistics_.count_refusal(reply.refusal.kind);
    outcome = base::error_answer(reply.refusal.kind).name;
  }
  const auto status = node_.status();
  log_.event("request", [&](auto& line) {
    line.with("route", name.route).with("program", name.program).with("key", name.key);
    line.with("generation", status.generation).with("outcome", outcome);
  });
}

void CallerApi::answer(const RequestName& name, const wire::ProgramReply& reply,
                       http::Responder& responder) {
  note(name, reply);
  responder.send(reply_answer(reply));
}

void CallerApi::refuse(wire::ErrorKind::type kind, const std::string& detail,
                       http::Responder& responder) {
  statistics_.count_refusal(kind);
  responder.send(refusal_answer(kind, detail));
}

}  // namespace sailgate::api

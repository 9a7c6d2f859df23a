#include "api/answers.hpp"

#include <cpprest/json.h>

#include "base/error_table.hpp"
#include "base/refusal.hpp"

namespace sailgate::api {
namespace {

using web::json::value;

constexpr std::int64_t kMillisPerSecond = 1000;

const char* name_of(wire::Ran::type ran) {
  switch (ran) {
    case wire::Ran::kNotRun:
      return "not_run";
    case wire::Ran::kUnknown:
      return "unknown";
    case wire::Ran::kRan:
      return "ran";
  }
  return "unknown";
}

const char* name_of(wire::TargetKind::type kind) {
  switch (kind) {
    case wire::TargetKind::kEngine:
      return "engine";
    case wire::TargetKind::kApplication:
      return "application";
    case wire::TargetKind::kTool:
      return "tool";
  }
  return "tool";
}

value error_json(const wire::Refusal& refusal, const std::string& detail) {
  const auto& row = base::error_answer(refusal.kind);
  auto error = value::object();
  error["kind"] = value::string(row.name);
  error["ran"] = value::string(name_of(refusal.ran));
  error["text"] = value::string(row.text);
  if (!detail.empty()) error["detail"] = value::string(detail);
  if (refusal.retry_after_ms > 0) {
    error["retry_after_ms"] = value::number(refusal.retry_after_ms);
  }
  return error;
}

}  // namespace

http::HttpResponse refusal_answer(const wire::Refusal& refusal, const std::string& detail) {
  http::HttpResponse response;
  response.status = base::error_answer(refusal.kind).http_status;
  auto body = value::object();
  body["error"] = error_json(refusal, detail);
  response.body = body.serialize();
  if (refusal.retry_after_ms > 0) {
    const auto seconds = (refusal.retry_after_ms + kMillisPerSecond - 1) / kMillisPerSecond;
    response.headers["Retry-After"] = std::to_string(seconds);
  }
  return response;
}

http::HttpResponse refusal_answer(wire::ErrorKind::type kind, const std::string& detail) {
  return refusal_answer(base::make_refusal(kind), detail);
}

http::HttpResponse outcome_answer(const wire::CallOutcome& outcome) {
  http::HttpResponse response;
  auto body = value::object();
  const bool failed = outcome.outcome == wire::Outcome::kFailed;
  body["outcome"] = value::string(failed ? "failed" : "succeeded");
  body["sequence"] = value::number(outcome.sequence);
  body["result"] = value::string(outcome.result);
  body["used_tokens"] = value::number(outcome.used_tokens);
  if (failed) {
    body["error"] = error_json(base::make_refusal(outcome.error), "");
    response.status = base::error_answer(outcome.error).http_status;
  }
  response.body = body.serialize();
  return response;
}

http::HttpResponse view_answer(const wire::ProgramView& view) {
  auto body = value::object();
  body["program"] = value::string(view.program);
  body["tenant"] = value::string(view.tenant);
  body["kind"] = value::string(view.kind);
  body["budget_tokens"] = value::number(view.budget_tokens);
  body["settled_tokens"] = value::number(view.settled_tokens);
  body["reserved_tokens"] = value::number(view.reserved_tokens);
  body["ended"] = value::boolean(view.ended);
  body["next_sequence"] = value::number(view.next_sequence);
  body["history_digest"] = value::string(view.history_digest);
  std::vector<value> history;
  for (const auto& turn : view.history) {
    auto entry = value::object();
    entry["sequence"] = value::number(turn.sequence);
    entry["key"] = value::string(turn.request_key);
    entry["target"] = value::string(name_of(turn.target_kind));
    entry["request"] = value::parse(turn.request_body);
    entry["result"] = value::string(turn.result);
    history.push_back(std::move(entry));
  }
  body["history"] = value::array(history);
  std::vector<value> owed;
  for (const auto& backend : view.evictions_owed) owed.push_back(value::string(backend));
  body["evictions_owed"] = value::array(owed);
  http::HttpResponse response;
  response.body = body.serialize();
  return response;
}

http::HttpResponse configuration_answer(const wire::Configuration& configuration, bool live) {
  auto body = value::object();
  body["generation"] = value::number(configuration.generation);
  body["live"] = value::boolean(live);
  std::vector<value> bundles;
  for (const auto& bundle : configuration.bundles) {
    auto entry = value::object();
    entry["partner"] = value::string(bundle.partner);
    entry["version"] = value::number(bundle.version);
    entry["tenants"] = value::number(static_cast<std::uint64_t>(bundle.tenants.size()));
    entry["programs"] = value::number(static_cast<std::uint64_t>(bundle.programs.size()));
    bundles.push_back(std::move(entry));
  }
  body["bundles"] = value::array(bundles);
  http::HttpResponse response;
  response.body = body.serialize();
  return response;
}

http::HttpResponse accepted_answer(const std::string& program, int status) {
  auto body = value::object();
  body["program"] = value::string(program);
  http::HttpResponse response;
  response.status = status;
  response.body = body.serialize();
  return response;
}

http::HttpResponse reply_answer(const wire::ProgramReply& reply) {
  if (reply.__isset.outcome) return outcome_answer(reply.outcome);
  if (reply.__isset.refusal) return refusal_answer(reply.refusal, reply.refusal.detail);
  if (reply.__isset.view) return view_answer(reply.view);
  if (reply.__isset.accepted) return accepted_answer(reply.accepted.program, 200);
  // Nobody could tell in time: the request may or may not have taken effect.
  return refusal_answer(
      base::make_refusal(wire::ErrorKind::kStoreUnavailable, wire::Ran::kUnknown));
}

std::string event_text(const std::string& name, const std::string& json) {
  return "event: " + name + "\ndata: " + json + "\n\n";
}

std::string piece_event(const std::string& piece) {
  auto body = value::object();
  body["text"] = value::string(piece);
  return event_text("piece", body.serialize());
}

}  // namespace sailgate::api

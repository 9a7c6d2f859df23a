#include "api/call_request.hpp"

#include "base/digest.hpp"
#include "http/json_body.hpp"

namespace sailgate::api {
namespace {

using http::BadBody;
using web::json::value;
using Kind = wire::ErrorKind;

constexpr std::int64_t kMostTokens = 1'000'000'000;
constexpr std::int64_t kMostCalls = 100'000;
constexpr std::int64_t kDefaultCalls = 200;
constexpr std::int64_t kDefaultDeadline = 60'000;
constexpr std::int64_t kLongestDeadline = 3'600'000;

const value& object_field(const value& object, const std::string& name) {
  if (!object.has_object_field(name)) {
    throw BadBody(Kind::kMalformedRequest, "field '" + name + "' must be an object");
  }
  return object.at(name);
}

std::string arguments_of(const value& target) {
  return target.has_field("arguments") ? object_field(target, "arguments").serialize() : "{}";
}

void check_messages(const value& engine) {
  const auto problem =
      BadBody(Kind::kMalformedRequest, "'messages' must be an array of {role, content}");
  if (!engine.has_array_field("messages")) throw problem;
  for (const auto& message : engine.at("messages").as_array()) {
    const bool good = message.is_object() && message.has_string_field("role") &&
                      message.has_string_field("content");
    if (!good) throw problem;
  }
}

void read_target(const value& target, wire::CallAdmitted& call) {
  http::reject_unknown_fields(target, {"engine", "application", "tool"});
  if (target.as_object().size() != 1) {
    throw BadBody(Kind::kMalformedRequest, "'target' must name one of engine, application, tool");
  }
  if (target.has_field("engine")) {
    const auto& engine = object_field(target, "engine");
    http::reject_unknown_fields(engine, {"model", "messages", "max_tokens"});
    check_messages(engine);
    call.target_kind = wire::TargetKind::kEngine;
    call.target = http::string_field(engine, "model", kLongestName);
    call.request_body = engine.at("messages").serialize();
    call.reserved_tokens = http::integer_field(engine, "max_tokens", 1, kMostTokens);
  } else if (target.has_field("application")) {
    const auto& application = object_field(target, "application");
    http::reject_unknown_fields(application, {"operation", "arguments"});
    call.target_kind = wire::TargetKind::kApplication;
    call.target = http::string_field(application, "operation", kLongestName);
    call.request_body = arguments_of(application);
  } else {
    const auto& tool = object_field(target, "tool");
    http::reject_unknown_fields(tool, {"name", "arguments"});
    call.target_kind = wire::TargetKind::kTool;
    call.target = http::string_field(tool, "name", kLongestName);
    call.request_body = arguments_of(tool);
  }
}

}  // namespace

CallRequest parse_call(const std::string& program, const std::string& tenant,
                       const std::string& body) {
  const auto json = http::parse_object(body);
  http::reject_unknown_fields(
      json, {"sequence", "key", "repeatable", "first_send", "stream", "deadline_ms", "target"});
  CallRequest result;
  auto& call = result.admit.call;
  call.program = program;
  call.sequence = static_cast<std::int32_t>(http::integer_field(json, "sequence", 1, kMostCalls));
  call.request_key = http::string_field(json, "key", kLongestName);
  read_target(object_field(json, "target"), call);
  const bool engine = call.target_kind == wire::TargetKind::kEngine;
  call.repeatable = http::boolean_field_or(json, "repeatable", engine);
  call.request_digest = base::fast_digest(call.target + '\n' + call.request_body);
  result.first_send = http::boolean_field_or(json, "first_send", false);
  result.stream = http::boolean_field_or(json, "stream", false);
  result.deadline =
      http::integer_field_or(json, "deadline_ms", kDefaultDeadline, 1, kLongestDeadline);
  result.admit.deadline_in_ms = result.deadline;
  result.admit.tenant = tenant;
  return result;
}

wire::ProgramOpened parse_opening(const std::string& tenant, const std::string& body) {
  const auto json = http::parse_object(body);
  http::reject_unknown_fields(json, {"key", "kind", "budget_tokens", "call_limit", "parent"});
  wire::ProgramOpened opened;
  opened.tenant = tenant;
  opened.kind = http::string_field(json, "kind", kLongestName);
  opened.budget_tokens = http::integer_field(json, "budget_tokens", 0, kMostTokens);
  opened.call_limit = static_cast<std::int32_t>(
      http::integer_field_or(json, "call_limit", kDefaultCalls, 1, kMostCalls));
  opened.parent = http::string_field_or(json, "parent", "", kLongestName);
  const auto key = http::string_field(json, "key", kLongestName);
  const auto digest = base::chain_digest(tenant, opened.parent + '\n' + key);
  opened.program = opened.parent.empty() ? "p-" + digest : opened.parent + ".c-" + digest;
  if (opened.program.size() > kLongestName) {
    throw BadBody(Kind::kMalformedRequest, "sub-programs are nested too deep");
  }
  return opened;
}

}  // namespace sailgate::api

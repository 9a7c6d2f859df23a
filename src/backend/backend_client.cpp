#include "backend/backend_client.hpp"

#include <cpprest/json.h>

#include <algorithm>
#include <thread>

#include "backend/engine_stream.hpp"

namespace sailgate::backend {
namespace {

using api::DispatchResult;
using web::json::value;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kControlTimeout{1000};
constexpr std::chrono::milliseconds kResumePause{50};
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::chrono::milliseconds until(Clock::time_point end) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
  return std::max(left, std::chrono::milliseconds{1});
}

/// Statuses by which a back end says that it did not take the call.
bool refuses(int status) {
  return status == kConflict || status == kTooManyRequests || status == kUnavailable;
}

DispatchResult refused(const http::HttpResponse& response) {
  DispatchResult result;
  result.kind = DispatchResult::Kind::kRefused;
  result.backend_leaving = response.body.find("\"draining\"") != std::string::npos;
  return result;
}

void identify_attempt(const AttemptOrder& order, http::HttpRequest& request) {
  request.headers["x-sailgate-attempt"] = std::to_string(order.grant.attempt);
  request.headers["x-sailgate-fence"] = std::to_string(order.grant.fence);
  request.headers["x-sailgate-program"] = order.program;
  request.headers["x-sailgate-request-key"] = order.request_key;
}

/// The program's earlier turns, then the new messages.
value assemble_messages(const AttemptOrder& order) {
  std::vector<value> messages;
  const auto append = [&messages](const std::string& body) {
    const auto parsed = value::parse(body);
    for (const auto& message : parsed.as_array()) messages.push_back(message);
  };
  for (const auto& turn : order.grant.history) {
    if (turn.target_kind != wire::TargetKind::kEngine) continue;
    append(turn.request_body);
    auto answer = value::object();
    answer["role"] = value::string("assistant");
    answer["content"] = value::string(turn.result);
    messages.push_back(std::move(answer));
  }
  append(order.request_body);
  return value::array(messages);
}

}  // namespace

DispatchResult HttpBackendClient::run(const AttemptOrder& order, std::chrono::milliseconds deadline,
                                      const PieceHandler& on_piece) {
  try {
    if (order.target_kind == wire::TargetKind::kEngine) {
      return run_on_engine(order, deadline, on_piece);
    }
    return run_on_service(order, deadline);
  } catch (const std::exception&) {
    return {};
  }
}

DispatchResult HttpBackendClient::run_on_engine(const AttemptOrder& order,
                                                std::chrono::milliseconds deadline,
                                                const PieceHandler& on_piece) {
  const auto end = Clock::now() + deadline;
  auto body = value::object();
  body["model"] = value::string(order.target);
  body["messages"] = assemble_messages(order);
  body["max_tokens"] = value::number(order.grant.token_ceiling);
  body["stream"] = value::boolean(true);
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", "chat", "completions"};
  identify_attempt(order, request);
  request.body = body.serialize();

  DispatchResult result;
  EngineStream stream(order.grant.attempt, on_piece);
  const auto on_line = [&stream](const std::string& line) { return stream.take_line(line); };
  auto answer = client_.stream(order.grant.backend, request, until(end), on_line);
  if (answer.delivery == http::Delivery::kUnsent) {
    result.kind = DispatchResult::Kind::kUnsent;
    return result;
  }
  if (answer.delivery == http::Delivery::kAnswered && answer.response.status != kOk) {
    if (refuses(answer.response.status)) return refused(answer.response);
    result.kind = DispatchResult::Kind::kFailed;
    result.answered_attempt = order.grant.attempt;
    return result;
  }
  // A cut or crossed stream is taken up again where it broke off.
  http::HttpRequest resume;
  resume.method = "POST";
  resume.path = {"v1", "attempts", std::to_string(order.grant.attempt), "resume"};
  while (!stream.whole() && !stream.caller_gone() && until(end) > kResumePause) {
    std::this_thread::sleep_for(kResumePause);
    auto offset = value::object();
    offset["offset"] = value::number(stream.offset());
    resume.body = offset.serialize();
    client_.stream(order.grant.backend, resume, until(end), on_line);
  }
  if (stream.caller_gone()) cancel({order.grant.backend, order.grant.attempt});
  if (!stream.whole()) return result;
  result.kind = DispatchResult::Kind::kSucceeded;
  result.answered_attempt = order.grant.attempt;
  result.used_tokens = stream.used_tokens();
  result.result = stream.text();
  return result;
}

DispatchResult HttpBackendClient::run_on_service(const AttemptOrder& order,
                                                 std::chrono::milliseconds deadline) {
  const bool tool = order.target_kind == wire::TargetKind::kTool;
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", tool ? "tools" : "operations", order.target};
  identify_attempt(order, request);
  auto body = value::object();
  body["attempt"] = value::string(std::to_string(order.grant.attempt));
  body["key"] = value::string(order.request_key);
  body["program"] = value::string(order.program);
  body["arguments"] = value::parse(order.request_body);
  request.body = body.serialize();
  const auto answer = client_.send(order.grant.backend, request, deadline, true);
  DispatchResult result;
  if (answer.delivery == http::Delivery::kUnsent) {
    result.kind = DispatchResult::Kind::kUnsent;
    return result;
  }
  if (!answer.body_complete) return result;
  if (refuses(answer.response.status)) return refused(answer.response);
  const bool ok = answer.response.status == kOk;
  const auto json = value::parse(answer.response.body);
  result.answered_attempt = std::stoll(json.at("attempt").as_string());
  result.result = ok ? json.at("result").serialize() : json.at("error").serialize();
  result.kind = ok ? DispatchResult::Kind::kSucceeded : DispatchResult::Kind::kFailed;
  return result;
}

bool HttpBackendClient::evict(const program::EvictionRequest& order) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", "cache", "evict"};
  auto body = value::object();
  body["program"] = value::string(order.program);
  request.body = body.serialize();
  const auto answer = client_.send(order.backend, request, kControlTimeout);
  return answer.body_complete && answer.response.status == kOk;
}

void HttpBackendClient::cancel(const program::CancelRequest& order) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", "attempts", std::to_string(order.attempt), "cancel"};
  client_.send(order.backend, request, kControlTimeout);
}

program::InquiryAnswer HttpBackendClient::inquire(const program::OutcomeInquiry& inquiry) {
  program::InquiryAnswer result;
  result.inquiry = inquiry;
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", "inquiries"};
  auto body = value::object();
  body["key"] = value::string(inquiry.request_key);
  body["attempt"] = value::string(std::to_string(inquiry.attempt));
  request.body = body.serialize();
  const auto answer = client_.send(inquiry.backend, request, kControlTimeout);
  if (!answer.body_complete || answer.response.status != kOk) return result;
  try {
    const auto json = value::parse(answer.response.body);
    const auto verdict = json.at("verdict").as_string();
    if (verdict == "ran") {
      result.verdict = program::InquiryAnswer::Verdict::kRan;
      result.result = json.at("result").serialize();
    } else if (verdict == "not_run") {
      result.verdict = program::InquiryAnswer::Verdict::kNotRun;
    }
  } catch (const std::exception&) {
    // Ask again later.
    result.verdict = program::InquiryAnswer::Verdict::kUndetermined;
  }
  return result;
}

AttemptState HttpBackendClient::ask_gateway(const program::GatewayCheck& check) {
  http::HttpRequest request;
  request.path = {"v1", "attempts", std::to_string(check.attempt)};
  const auto answer = client_.send(check.gateway_address, request, kControlTimeout, true);
  if (answer.delivery == http::Delivery::kUnsent) return AttemptState::kNotRunning;
  if (!answer.body_complete || answer.response.status != kOk) return AttemptState::kNoAnswer;
  try {
    const bool running = value::parse(answer.response.body).at("running").as_bool();
    return running ? AttemptState::kRunning : AttemptState::kNotRunning;
  } catch (const std::exception&) {
    return AttemptState::kNoAnswer;
  }
}

std::optional<LoadReport> HttpBackendClient::load(const std::string& backend) {
  http::HttpRequest request;
  request.path = {"v1", "load"};
  const auto answer = client_.send(backend, request, kControlTimeout);
  if (!answer.body_complete || answer.response.status != kOk) return std::nullopt;
  try {
    const auto json = value::parse(answer.response.body);
    LoadReport report;
    report.running = static_cast<std::int32_t>(json.at("running").as_integer());
    report.draining = json.at("draining").as_bool();
    return report;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace sailgate::backend

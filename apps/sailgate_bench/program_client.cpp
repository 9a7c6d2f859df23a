#include "program_client.hpp"

#include <utility>

#include "stopwatch.hpp"

namespace sailgate::bench {
namespace {

using web::json::value;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kRequestTimeout{12'000};
/// Beyond a call's deadline the answer is still waited for this long.
constexpr std::chrono::milliseconds kAnswerGrace{5000};

void take_body(const std::string& text, CallerAnswer& answer) {
  if (text.empty()) return;
  answer.body = value::parse(text);
  if (!answer.body.is_object()) return;
  if (answer.body.has_string_field("program")) answer.program = answer.body["program"].as_string();
  if (answer.body.has_string_field("result")) answer.result = answer.body["result"].as_string();
  if (!answer.body.has_object_field("error")) return;
  const auto& error = answer.body["error"];
  answer.kind = error.at("kind").as_string();
  answer.ran = error.at("ran").as_string();
  if (error.has_number_field("retry_after_ms")) {
    answer.retry_after_ms = error.at("retry_after_ms").as_number().to_int64();
  }
}

}  // namespace

value engine_target(const std::string& message, std::int64_t max_tokens) {
  auto entry = value::object();
  entry["role"] = value::string("user");
  entry["content"] = value::string(message);
  auto engine = value::object();
  engine["model"] = value::string("model");
  engine["messages"] = value::array({entry});
  engine["max_tokens"] = value::number(max_tokens);
  auto target = value::object();
  target["engine"] = engine;
  return target;
}

value application_target(const std::string& operation) {
  auto application = value::object();
  application["operation"] = value::string(operation);
  application["arguments"] = value::object();
  auto target = value::object();
  target["application"] = application;
  return target;
}

value tool_target(const std::string& name) {
  auto tool = value::object();
  tool["name"] = value::string(name);
  auto target = value::object();
  target["tool"] = tool;
  return target;
}

CallerAnswer ProgramClient::send(const std::string& node, const std::string& method,
                                 const std::vector<std::string>& path, const value& body,
                                 std::chrono::milliseconds timeout) {
  http::HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers["Sailgate-Tenant"] = tenant_;
  if (!body.is_null()) request.body = body.serialize();
  const auto start = Clock::now();
  const auto result = client_.send(node, request, timeout);
  CallerAnswer answer;
  answer.total_ms = millis_since(start);
  if (!result.body_complete) return answer;
  answer.answered = true;
  answer.status = result.response.status;
  take_body(result.response.body, answer);
  return answer;
}

CallerAnswer ProgramClient::open(const std::string& node, const std::string& key,
                                 const std::string& kind, std::int64_t budget,
                                 const std::string& parent) {
  auto body = value::object();
  body["key"] = value::string(key);
  body["kind"] = value::string(kind);
  body["budget_tokens"] = value::number(budget);
  if (!parent.empty()) body["parent"] = value::string(parent);
  return send(node, "POST", {"v1", "programs"}, body, kRequestTimeout);
}

CallerAnswer ProgramClient::call(const std::string& node, const std::string& program,
                                 const CallDescription& description) {
  auto body = value::object();
  body["sequence"] = value::number(description.sequence);
  body["key"] = value::string(description.key);
  body["repeatable"] = value::boolean(description.repeatable);
  body["first_send"] = value::boolean(description.first_send);
  body["stream"] = value::boolean(description.stream);
  body["deadline_ms"] = value::number(description.deadline_ms);
  body["target"] = description.target;
  const auto timeout = std::chrono::milliseconds(description.deadline_ms) + kAnswerGrace;
  if (!description.stream) {
    return send(node, "POST", {"v1", "programs", program, "calls"}, body, timeout);
  }
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", "programs", program, "calls"};
  request.headers["Sailgate-Tenant"] = tenant_;
  request.body = body.serialize();
  return send_streamed(node, request, timeout);
}

CallerAnswer ProgramClient::send_streamed(const std::string& node, const http::HttpRequest& request,
                                          std::chrono::milliseconds timeout) {
  CallerAnswer answer;
  const auto start = Clock::now();
  std::string event;
  std::string last;
  const auto on_line = [&](const std::string& line) {
    constexpr std::size_t kPrefix = 6;  // "event:" and "data: "
    if (line.rfind("event: ", 0) == 0) event = line.substr(kPrefix + 1);
    if (line.rfind("data: ", 0) != 0) return true;
    if (event.rfind("piece", 0) == 0) {
      if (answer.pieces == 0) answer.first_piece_ms = millis_since(start);
      ++answer.pieces;
    } else {
      last = line.substr(kPrefix);
    }
    return true;
  };
  const auto result = client_.stream(node, request, timeout, on_line);
  answer.total_ms = millis_since(start);
  if (!result.body_complete) return answer;
  answer.status = result.response.status;
  const auto& text = answer.status == 200 ? last : result.response.body;
  answer.answered = !text.empty();
  take_body(text, answer);
  return answer;
}

CallerAnswer ProgramClient::look_up(const std::string& node, const std::string& program,
                                    const std::string& key) {
  return send(node, "GET", {"v1", "programs", program, "calls", key}, {}, kRequestTimeout);
}

CallerAnswer ProgramClient::pause(const std::string& node, const std::string& program,
                                  std::int64_t expected_ms) {
  auto body = value::object();
  body["expected_ms"] = value::number(expected_ms);
  return send(node, "POST", {"v1", "programs", program, "pause"}, body, kRequestTimeout);
}

CallerAnswer ProgramClient::read(const std::string& node, const std::string& program) {
  return send(node, "GET", {"v1", "programs", program}, {}, kRequestTimeout);
}

CallerAnswer ProgramClient::end(const std::string& node, const std::string& program) {
  return send(node, "DELETE", {"v1", "programs", program}, {}, kRequestTimeout);
}

}  // namespace sailgate::bench

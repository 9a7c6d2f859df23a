#include "engine_service.hpp"

#include <thread>

#include "http/json_body.hpp"

namespace sailgate::standin {
namespace {

using web::json::value;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kLongestName = 256;
constexpr std::int64_t kMostTokens = 1'000'000'000;
constexpr std::chrono::seconds kHang{3600};
constexpr std::chrono::seconds kLoadHistory{30};

std::string prompt_of(const value& body) {
  std::string prompt;
  for (const auto& message : body.at("messages").as_array()) {
    prompt += message.at("role").as_string() + ' ' + message.at("content").as_string() + ' ';
  }
  return prompt;
}

std::string data_event(const value& json) { return "data: " + json.serialize() + "\n\n"; }

std::int64_t header_number(const http::HttpRequest& request, const std::string& name) {
  const auto text = request.header(name);
  return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

EngineService::EngineService(EngineShape shape, std::set<std::string> models)
    : model_(shape),
      faults_({"late_ms", "cross_next", "cut_after", "hang_next", "load_lag_ms", "event_gap"}),
      models_(std::move(models)) {}

void EngineService::handle(const http::HttpRequest& request, http::Responder& responder) {
  try {
    if (path_is(request, {"faults"})) return responder.send(faults_.handle(request));
    if (path_is(request, {"v1", "chat", "completions"})) return complete(request, responder);
    if (path_is(request, {"v1", "attempts", "*", "resume"})) return resume(request, responder);
    if (path_is(request, {"v1", "attempts", "*", "cancel"})) {
      model_.cancel(request.path[2]);
      return responder.send(json_answer(200, "{}"));
    }
    if (path_is(request, {"v1", "cache", "evict"})) return responder.send(evict(request));
    if (path_is(request, {"v1", "cache", "export"})) {
      return responder.send(move_blocks(request, false));
    }
    if (path_is(request, {"v1", "cache", "import"})) {
      return responder.send(move_blocks(request, true));
    }
    if (path_is(request, {"v1", "cache", "events", "*"})) return responder.send(events(request));
    if (path_is(request, {"v1", "cache", "inventory"})) return responder.send(inventory());
    if (path_is(request, {"v1", "orders"})) return responder.send(order(request));
    if (path_is(request, {"v1", "load"})) return responder.send(load());
    responder.send(error_answer(404, "unknown resource"));
  } catch (const std::exception& error) {
    responder.send(error_answer(400, error.what()));
  }
}

void EngineService::complete(const http::HttpRequest& request, http::Responder& responder) {
  const auto body = http::parse_object(request.body);
  if (draining_) return responder.send(error_answer(503, "draining"));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (models_.count(body.at("model").as_string()) == 0) {
      return responder.send(error_answer(409, "model not loaded"));
    }
  }
  if (faults_.take_one("hang_next")) {
    std::this_thread::sleep_for(kHang);
    return;
  }
  const auto attempt = request.header("x-sailgate-attempt");
  Sequence sequence;
  sequence.program = request.header("x-sailgate-program");
  sequence.request_key = request.header("x-sailgate-request-key");
  sequence.priority = header_number(request, "x-sailgate-priority");
  sequence.answer_length = http::integer_field(body, "max_tokens", 1, kMostTokens);
  model_.submit(attempt, std::move(sequence), prompt_of(body));
  std::this_thread::sleep_for(std::chrono::milliseconds(faults_.get("late_ms")));
  stream(attempt, 0, responder);
}

void EngineService::resume(const http::HttpRequest& request, http::Responder& responder) {
  const auto& attempt = request.path[2];
  const auto body = http::parse_object(request.body);
  const auto offset = http::integer_field(body, "offset", 0, kMostTokens);
  if (!model_.known(attempt)) return responder.send(error_answer(404, "unknown attempt"));
  if (model_.cancelled(attempt)) return responder.send(error_answer(409, "cancelled"));
  stream(attempt, static_cast<std::size_t>(offset), responder);
}

void EngineService::stream(const std::string& attempt, std::size_t position,
                           http::Responder& responder) {
  http::HttpResponse head;
  head.content_type = "text/event-stream";
  responder.begin_stream(head);
  const auto named = faults_.take_one("cross_next") ? "1" + attempt : attempt;
  const auto cut_after = static_cast<std::size_t>(faults_.get("cut_after"));
  std::size_t sent = 0;
  std::string piece;
  while (model_.wait_for_piece(attempt, position, piece)) {
    if (cut_after > 0 && sent >= cut_after) return responder.end_stream();
    auto event = value::object();
    event["attempt"] = value::string(named);
    event["position"] = value::number(static_cast<std::uint64_t>(position));
    auto delta = value::object();
    delta["content"] = value::string(piece);
    auto choice = value::object();
    choice["index"] = value::number(0);
    choice["delta"] = delta;
    event["choices"] = value::array({choice});
    if (!responder.write(data_event(event))) return responder.end_stream();
    ++position;
    ++sent;
  }
  if (!model_.cancelled(attempt)) {
    auto last = value::object();
    last["attempt"] = value::string(named);
    auto usage = value::object();
    usage["completion_tokens"] =
        value::number(static_cast<std::uint64_t>(model_.answered_tokens(attempt)));
    last["usage"] = usage;
    responder.write(data_event(last));
    responder.write("data: [DONE]\n\n");
  }
  responder.end_stream();
}

http::HttpResponse EngineService::evict(const http::HttpRequest& request) {
  const auto body = http::parse_object(request.body);
  model_.evict(http::string_field(body, "program", kLongestName));
  return json_answer(200, "{}");
}

http::HttpResponse EngineService::move_blocks(const http::HttpRequest& request, bool import) {
  const auto body = http::parse_object(request.body);
  const auto program = http::string_field(body, "program", kLongestName);
  if (import) {
    std::vector<std::int64_t> blocks;
    for (const auto& block : body.at("blocks").as_array()) {
      blocks.push_back(std::stoll(block.as_string()));
    }
    model_.import_blocks(program, blocks);
    return json_answer(200, "{}");
  }
  std::vector<value> blocks;
  for (const auto block : model_.export_blocks(program)) {
    blocks.push_back(value::string(std::to_string(block)));
  }
  auto answer = value::object();
  answer["blocks"] = value::array(blocks);
  return json_answer(200, answer.serialize());
}

http::HttpResponse EngineService::events(const http::HttpRequest& request) {
  const auto gap = faults_.get("event_gap");
  std::vector<value> list;
  for (const auto& event : model_.events_after(std::stoll(request.path[3]))) {
    if (gap > 0 && event.number % gap == 0) continue;
    auto entry = value::object();
    entry["number"] = value::number(event.number);
    entry["stored"] = value::boolean(event.stored);
    entry["block"] = value::string(std::to_string(event.block));
    list.push_back(entry);
  }
  auto answer = value::object();
  answer["events"] = value::array(list);
  return json_answer(200, answer.serialize());
}

http::HttpResponse EngineService::order(const http::HttpRequest& request) {
  const auto body = http::parse_object(request.body);
  const auto fence = http::integer_field(body, "fence", 0, INT64_MAX);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (fence < last_fence_) return error_answer(409, "fenced");
  last_fence_ = fence;
  if (body.has_field("drain")) draining_ = body.at("drain").as_bool();
  if (body.has_field("load_model")) models_.insert(body.at("load_model").as_string());
  if (body.has_field("unload_model")) models_.erase(body.at("unload_model").as_string());
  return json_answer(200, "{}");
}

http::HttpResponse EngineService::load() {
  const auto now = Clock::now();
  const auto lag = std::chrono::milliseconds(faults_.get("load_lag_ms"));
  std::size_t reported = model_.load();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    load_history_.emplace_back(now, reported);
    while (now - load_history_.front().first > kLoadHistory) load_history_.pop_front();
    for (const auto& [time, value_then] : load_history_) {
      if (now - time >= lag) reported = value_then;
    }
  }
  auto answer = value::object();
  answer["running"] = value::number(static_cast<std::uint64_t>(reported));
  answer["draining"] = value::boolean(draining_);
  answer["computed_tokens"] = value::number(model_.computed_tokens());
  answer["reused_tokens"] = value::number(model_.reused_tokens());
  return json_answer(200, answer.serialize());
}

http::HttpResponse EngineService::inventory() const {
  std::vector<value> programs;
  for (const auto& program : model_.programs_held()) programs.push_back(value::string(program));
  auto answer = value::object();
  answer["programs"] = value::array(programs);
  return json_answer(200, answer.serialize());
}

}  // namespace sailgate::standin

#include "application_service.hpp"

#include <chrono>
#include <thread>

#include "http/json_body.hpp"

namespace sailgate::standin {
namespace {

using web::json::value;

constexpr std::size_t kLongestName = 256;
constexpr std::chrono::milliseconds kServiceTime{5};
constexpr std::chrono::seconds kHang{3600};

}  // namespace

ApplicationService::ApplicationService(std::string resource)
    : resource_(std::move(resource)),
      faults_({"late_ms", "cross_next", "lose_next", "hang_next", "fail_next"}) {}

void ApplicationService::handle(const http::HttpRequest& request, http::Responder& responder) {
  try {
    if (path_is(request, {"faults"})) return responder.send(faults_.handle(request));
    if (path_is(request, {"v1", resource_.c_str(), "*"})) return run(request, responder);
    if (path_is(request, {"v1", "inquiries"})) return responder.send(inquire(request));
    if (path_is(request, {"v1", "effects"})) return responder.send(effects());
    if (path_is(request, {"v1", "orders"})) {
      draining_ = http::parse_object(request.body).at("drain").as_bool();
      return responder.send(json_answer(200, "{}"));
    }
    if (path_is(request, {"v1", "load"})) {
      auto answer = value::object();
      answer["running"] = value::number(active_.load());
      answer["draining"] = value::boolean(draining_);
      return responder.send(json_answer(200, answer.serialize()));
    }
    responder.send(error_answer(404, "unknown resource"));
  } catch (const std::exception& error) {
    responder.send(error_answer(400, error.what()));
  }
}

void ApplicationService::run(const http::HttpRequest& request, http::Responder& responder) {
  const auto body = http::parse_object(request.body);
  const auto key = http::string_field(body, "key", kLongestName);
  auto attempt = http::string_field(body, "attempt", kLongestName);
  if (draining_) return responder.send(error_answer(503, "draining"));
  if (faults_.take_one("hang_next")) {
    std::this_thread::sleep_for(kHang);
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fenced_.count(attempt) > 0) return responder.send(error_answer(409, "fenced"));
    running_.insert(key);
  }
  ++active_;
  std::this_thread::sleep_for(kServiceTime);
  auto result = value::object();
  result["done"] = value::string(request.path[2]);
  result["key"] = value::string(key);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++effects_[key];
    results_[key] = result.serialize();
    running_.erase(key);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults_.get("late_ms")));
  --active_;
  if (faults_.take_one("lose_next")) {
    std::this_thread::sleep_for(kHang);
    return;
  }
  if (faults_.take_one("cross_next")) attempt = "1" + attempt;
  auto answer = value::object();
  answer["attempt"] = value::string(attempt);
  if (faults_.take_one("fail_next")) {
    answer["error"] = value::string("operation failed");
    return responder.send(json_answer(500, answer.serialize()));
  }
  answer["result"] = result;
  responder.send(json_answer(200, answer.serialize()));
}

http::HttpResponse ApplicationService::inquire(const http::HttpRequest& request) {
  const auto body = http::parse_object(request.body);
  const auto key = http::string_field(body, "key", kLongestName);
  auto answer = value::object();
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto done = results_.find(key);
  if (done != results_.end()) {
    answer["verdict"] = value::string("ran");
    answer["result"] = value::parse(done->second);
  } else if (running_.count(key) > 0) {
    answer["verdict"] = value::string("open");
  } else {
    // From now on this attempt is refused, so that "not run" stays true of it.
    fenced_.insert(http::string_field(body, "attempt", kLongestName));
    answer["verdict"] = value::string("not_run");
  }
  return json_answer(200, answer.serialize());
}

http::HttpResponse ApplicationService::effects() {
  auto answer = value::object();
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [key, count] : effects_) answer[key] = value::number(count);
  return json_answer(200, answer.serialize());
}

}  // namespace sailgate::standin

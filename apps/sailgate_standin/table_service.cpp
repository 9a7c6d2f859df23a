#include "table_service.hpp"

#include <thread>

#include "http/json_body.hpp"

namespace sailgate::standin {
namespace {

using web::json::value;

constexpr std::size_t kLongestValue = 1U << 20U;
constexpr std::chrono::seconds kHang{30};

http::HttpResponse row_answer(int status, std::int64_t version, const std::string& content) {
  auto answer = value::object();
  answer["version"] = value::number(version);
  answer["value"] = value::string(content);
  return json_answer(status, answer.serialize());
}

}  // namespace

TableStandIn::TableStandIn() : faults_({"down", "slow_ms", "lose_next", "rate_per_second"}) {}

void TableStandIn::handle(const http::HttpRequest& request, http::Responder& responder) {
  try {
    if (path_is(request, {"faults"})) return responder.send(faults_.handle(request));
    if (!path_is(request, {"v1", "rows", "*"})) {
      return responder.send(error_answer(404, "unknown resource"));
    }
    if (faults_.get("down") != 0) return responder.send(error_answer(500, "down"));
    if (!within_rate()) {
      auto limited = error_answer(429, "rate limit");
      limited.headers["Retry-After"] = "1";
      return responder.send(limited);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(faults_.get("slow_ms")));
    if (request.method == "GET") return responder.send(read(request.path[2]));
    const auto answer = write(request.path[2], request.body);
    if (faults_.take_one("lose_next")) {
      std::this_thread::sleep_for(kHang);
      return;
    }
    responder.send(answer);
  } catch (const std::exception& error) {
    responder.send(error_answer(400, error.what()));
  }
}

bool TableStandIn::within_rate() {
  const auto limit = faults_.get("rate_per_second");
  if (limit <= 0) return true;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (now - window_ >= std::chrono::seconds(1)) {
    window_ = now;
    used_in_window_ = 0;
  }
  return ++used_in_window_ <= limit;
}

http::HttpResponse TableStandIn::read(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = rows_.find(key);
  if (found == rows_.end()) return error_answer(404, "no such row");
  return row_answer(200, found->second.version, found->second.value);
}

http::HttpResponse TableStandIn::write(const std::string& key, const std::string& body) {
  const auto json = http::parse_object(body);
  const auto expected = http::integer_field(json, "expected_version", 0, INT64_MAX);
  const auto content = http::string_field(json, "value", kLongestValue);
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& row = rows_[key];
  if (row.version != expected) {
    auto conflict = row_answer(409, row.version, row.value);
    if (row.version == 0) rows_.erase(key);
    return conflict;
  }
  row.version += 1;
  row.value = content;
  return row_answer(200, row.version, row.value);
}

}  // namespace sailgate::standin

#include "table_service.hpp"

#include <algorithm>
#include <thread>

#include "base/digest.hpp"
#include "table_wire.hpp"

namespace sailgate::standin {
namespace {

/// Longer than callers wait. Each silent call holds a worker: held for 30 s, calls of two
/// overlapping silences held all of them, and nothing was answered for 30 s more.
constexpr std::chrono::seconds kHang{3};
constexpr std::chrono::milliseconds kSilencePoll{20};
constexpr std::chrono::seconds kLate{2};
constexpr int kTooManyCalls = 429;
constexpr int kUnavailable = 503;
constexpr std::int64_t kHundred = 100;

http::HttpResponse answer_of(store::StoreResult result) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  result.now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return json_answer(static_cast<int>(platform::status_of(result.status)),
                     platform::encode_result(result));
}

std::string path_of(const http::HttpRequest& request) {
  std::string path;
  for (const auto& segment : request.path) path += "/" + segment;
  return path;
}

}  // namespace

bool TableStandIn::Rate::take(std::int64_t limit) {
  if (limit <= 0) return true;
  const auto now = std::chrono::steady_clock::now();
  if (now - window_ >= std::chrono::seconds(1)) {
    window_ = now;
    used_ = 0;
  }
  return ++used_ <= limit;
}

TableStandIn::TableStandIn()
    : faults_({"down", "silent", "slow_ms", "lose_next", "late_next", "writes_per_second",
               "reads_per_second", "part_writes_per_second", "parts_down", "forget_history"}) {}

void TableStandIn::handle(const http::HttpRequest& request, http::Responder& responder) {
  try {
    if (path_is(request, {"faults"})) return responder.send(faults_.handle(request));
    if (faults_.get("silent") != 0) return stay_silent();
    if (faults_.get("down") != 0) return responder.send(error_answer(kUnavailable, "down"));
    std::this_thread::sleep_for(std::chrono::milliseconds(faults_.get("slow_ms")));
    serve(request, responder);
  } catch (const std::exception& error) {
    responder.send(error_answer(400, error.what()));
  }
}

void TableStandIn::stay_silent() const {
  const auto until = std::chrono::steady_clock::now() + kHang;
  while (faults_.get("silent") != 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kSilencePoll);
  }
}

void TableStandIn::serve(const http::HttpRequest& request, http::Responder& responder) {
  const auto path = path_of(request);
  if (path == platform::kTransactPath) return transact(request, responder);
  if (path == platform::kReadPath) return read(request, responder);
  if (path == platform::kFollowPath) return follow(request, responder);
  responder.send(error_answer(404, "unknown resource"));
}

bool TableStandIn::part_is_down(const std::string& part) const {
  const auto digest = static_cast<std::uint64_t>(base::fast_digest(part));
  return static_cast<std::int64_t>(digest % kHundred) < faults_.get("parts_down");
}

void TableStandIn::transact(const http::HttpRequest& request, http::Responder& responder) {
  const auto transaction = platform::decode_transaction(request.body);
  std::string part;
  if (!transaction.conditions.empty()) part = transaction.conditions.front().id.part;
  if (!transaction.puts.empty()) part = transaction.puts.front().id.part;
  if (part_is_down(part)) return responder.send(error_answer(kUnavailable, "part down"));
  std::unique_lock<std::mutex> lock(mutex_);
  const bool allowed = writes_.take(faults_.get("writes_per_second")) &&
                       part_writes_[part].take(faults_.get("part_writes_per_second"));
  if (!allowed) return responder.send(error_answer(kTooManyCalls, "rate limit"));
  if (faults_.take_one("late_next")) {
    lock.unlock();
    std::this_thread::sleep_for(kLate);
    const std::lock_guard<std::mutex> late(mutex_);
    rows_.transact(transaction);
    return;
  }
  const auto result = rows_.transact(transaction);
  lock.unlock();
  changed_.notify_all();
  if (faults_.take_one("lose_next")) {
    std::this_thread::sleep_for(kHang);
    return;
  }
  responder.send(answer_of(result));
}

void TableStandIn::read(const http::HttpRequest& request, http::Responder& responder) {
  const auto range = platform::decode_read(request.query);
  if (part_is_down(range.part)) return responder.send(error_answer(kUnavailable, "part down"));
  std::unique_lock<std::mutex> lock(mutex_);
  if (!reads_.take(faults_.get("reads_per_second"))) {
    return responder.send(error_answer(kTooManyCalls, "rate limit"));
  }
  const auto result = rows_.read(range);
  lock.unlock();
  responder.send(answer_of(result));
}

void TableStandIn::follow(const http::HttpRequest& request, http::Responder& responder) {
  const auto call = platform::decode_follow(request.query);
  std::unique_lock<std::mutex> lock(mutex_);
  if (faults_.take_one("forget_history")) rows_.forget_history();
  const auto is_news = [](const store::StoreResult& result) {
    return !result.rows.empty() || result.status != store::StoreStatus::kDone;
  };
  auto result = rows_.changes(call.table, call.after);
  const auto until = std::chrono::steady_clock::now() + call.wait;
  while (!is_news(result) && changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
    result = rows_.changes(call.table, call.after);
  }
  lock.unlock();
  responder.send(answer_of(result));
}

}  // namespace sailgate::standin

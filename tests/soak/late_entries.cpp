#include "soak/late_entries.hpp"

namespace sailgate::soak {

namespace {

namespace http = net::http;

constexpr std::size_t kEngines = 4;
/// The others go on serving while these drain.
constexpr std::size_t kDrained = 2;
constexpr int kCallers = 4;
constexpr std::int64_t kFirstStart = 1'700'000'000'000;
constexpr std::int64_t kStartStep = 4000;
constexpr net::Millis kRequestTime{1000};
constexpr net::Millis kStoreTimeout{500};
constexpr net::Millis kRetryPause{50};
constexpr std::uint64_t kHeartbeatMs = 1200;
/// An entry that stands for four heartbeats may be believed, also where the store was away.
constexpr net::Millis kSettleTime{6000};
/// Time after which a draining engine may get no more requests.
constexpr net::Millis kDrainTime{2000};
constexpr net::Millis kWatchTime{1500};

}  // namespace

LateEntries::LateEntries(net::asio::io_context& context, SoakChecker& checker,
                         store::TableStore& table, std::function<net::Endpoint()> node,
                         std::uint64_t seed)
    : context_(context),
      checker_(checker),
      table_(table),
      node_(std::move(node)),
      random_(seed),
      engines_(kEngines) {
  for (auto& engine : engines_) {
    engine.process = std::make_unique<test::FakeEngine>(context_);
    engine.start = kFirstStart;
    engine.process->set_script([this, &engine](const auto& request) {
      engine.last_request = net::Clock::now();
      return test::EngineReply{test::engine_answer(request, "done")};
    });
  }
}

std::string LateEntries::route() {
  return R"(,{"name":"restarted","host":"h","path_prefix":"/restarted/","kind":"safe",)"
         R"("timeout_ms":1000,"slo_ms":500,"priority":1,"service":"restarted","max_attempts":2,)"
         R"("public":true})";
}

std::string LateEntries::service() { return R"(,{"name":"restarted","health_path":"/healthz"})"; }

std::string LateEntries::entry(std::size_t index, std::int64_t start, const char* state) const {
  const auto endpoint = engines_[index].process->endpoint();
  return R"({"service":"restarted","addr":")" + endpoint.address().to_string() + ":" +
         std::to_string(endpoint.port()) + R"(","zone":"zone)" + std::to_string(index % 2) +
         R"(","slots":16,"state":")" + state + R"(","born":)" + std::to_string(start) + "}";
}

std::map<std::string, std::string> LateEntries::entries() const {
  std::map<std::string, std::string> all;
  for (std::size_t i = 0; i < kEngines; ++i) all[name_of(i)] = entry(i, kFirstStart, "ready");
  return all;
}

template <typename Task>
void LateEntries::spawn(Task task) {
  ++running_;
  net::asio::co_spawn(context_, std::move(task), [this](const std::exception_ptr&) { --running_; });
}

void LateEntries::start() {
  spawn(restart_engines());
  for (int i = 0; i < kCallers; ++i) spawn(run_caller());
}

net::asio::awaitable<void> LateEntries::write(std::size_t index, std::string value) {
  store::Row row;
  row.id = {"servers", "", name_of(index)};
  row.value = std::move(value);
  while (true) {
    store::Transaction transaction;
    if (row.value.empty()) {
      transaction.removals.push_back(row.id);
    } else {
      transaction.puts.push_back(row);
    }
    const auto result = co_await table_.transact(std::move(transaction), kStoreTimeout);
    if (result.status == store::StoreStatus::kDone) co_return;
    co_await net::sleep_for(context_, kRetryPause);
  }
}

net::asio::awaitable<void> LateEntries::pause(std::uint64_t shortest_ms, std::uint64_t spread_ms) {
  const auto time = shortest_ms + random_.below(spread_ms);
  co_await net::sleep_for(context_, net::Millis(static_cast<std::int64_t>(time)));
}

net::asio::awaitable<void> LateEntries::restart_engines() {
  while (restarting_) {
    co_await restart(random_.below(kEngines));
    co_await pause(100, 600);
  }
  restarts_ended_ = true;
}

net::asio::awaitable<void> LateEntries::restart(std::size_t index) {
  auto& engine = engines_[index];
  const auto late = entry(index, engine.start, random_.chance(25) ? "draining" : "ready");
  engine.process->end(test::EngineEnd::kClose);
  co_await pause(100, 500);
  if (random_.chance(60)) co_await write(index, "");
  co_await pause(100, 500);
  engine.process->start_again();
  engine.start += kStartStep;
  co_await write(index, entry(index, engine.start, "ready"));
  const auto late_writes = 1 + random_.below(2);
  for (std::uint64_t i = 0; i < late_writes; ++i) {
    co_await pause(50, kHeartbeatMs);
    co_await write(index, late);
    ++late_writes_;
    co_await pause(50, kHeartbeatMs);
    co_await write(index, entry(index, engine.start, "ready"));
  }
}

net::asio::awaitable<void> LateEntries::check_drains() {
  restarting_ = false;
  while (!restarts_ended_) co_await net::sleep_for(context_, kRetryPause);
  co_await net::sleep_for(context_, kSettleTime);
  for (std::size_t i = 0; i < kDrained; ++i) {
    co_await write(i, entry(i, engines_[i].start, "draining"));
  }
  const auto drained_at = net::Clock::now() + kDrainTime;
  co_await net::sleep_for(context_, kDrainTime + kWatchTime);
  for (std::size_t i = 0; i < kDrained; ++i) {
    if (engines_[i].last_request >= drained_at) checker_.sent_to_drained(name_of(i));
  }
}

net::asio::awaitable<void> LateEntries::run_caller() {
  while (!stopping_) {
    co_await send();
    co_await pause(20, 80);
  }
}

net::asio::awaitable<void> LateEntries::send() {
  net::beast::tcp_stream stream(context_);
  stream.expires_after(kRequestTime);
  net::Error error;
  co_await stream.async_connect(node_(), net::awaiting(error));
  if (error) co_return;
  const std::string bytes = "GET /restarted/x HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: again-" +
                            std::to_string(++requests_) + "\r\nConnection: close\r\n\r\n";
  co_await net::asio::async_write(stream, net::asio::buffer(bytes), net::awaiting(error));
  net::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  co_await http::async_read(stream, buffer, response, net::awaiting(error));
  served_ += !error && response.result_int() == 200 ? 1 : 0;
}

std::string LateEntries::summary() const {
  return "  engines that start again: " + std::to_string(late_writes_) + " late entries, " +
         std::to_string(served_) + " of " + std::to_string(requests_) + " requests served\n";
}

}  // namespace sailgate::soak

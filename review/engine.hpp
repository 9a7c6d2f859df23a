// An engine of a plain service or of a stream service, as the protocol pages describe a sound one.
#pragma once

#include "lab.hpp"

namespace lab {

/// What one request does at an engine.
struct Run {
  std::string engine;
  long began = 0;
  long ended = -1;  ///< -1: not to its end
};

/// All runs at all engines, by request id.
class Runs {
 public:
  std::size_t begin(const std::string& id, const std::string& engine) {
    const std::lock_guard<std::mutex> guard(mutex_);
    runs_[id].push_back({engine, now_ms(), -1});
    return runs_[id].size() - 1;
  }
  void end(const std::string& id, std::size_t index) {
    const std::lock_guard<std::mutex> guard(mutex_);
    runs_[id][index].ended = now_ms();
  }
  std::vector<Run> of(const std::string& id) {
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? std::vector<Run>{} : found->second;
  }
  std::map<std::string, std::vector<Run>> all() {
    const std::lock_guard<std::mutex> guard(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
};

class Engine {
 public:
  virtual ~Engine() = default;

  std::string id;
  std::string service;
  std::string zone = "rennes";
  int slots = 6;
  int events = 0;  ///< of a stream; 0: a plain service
  /// How long a plain request works, or one event of a stream takes.
  std::function<long(const Message&)> work_ms = [](const Message&) { return 100L; };

  void start(Store& store, Runs& runs) {
    store_ = &store;
    runs_ = &runs;
    server_.start([this](int fd) { serve(fd); });
    write_entry("ready");
  }
  /// What the engine says of itself.
  std::string entry(const std::string& state) const {
    return Json{{"service", service}, {"addr", "127.0.0.1:" + std::to_string(server_.port())},
                {"zone", zone},       {"version", "v1"},
                {"slots", slots},     {"state", state},
                {"cold_left_ms", 0},  {"seq", 1},
                {"born", born}}
        .dump();
  }
  void write_entry(const std::string& state) { store_->put("servers", id, entry(state)); }
  void crash() { server_.stop(); }
  /// Starts again under its id and at its address.
  void start_again(std::int64_t at) {
    born = at;
    server_.start([this](int fd) { serve(fd); }, server_.port());
    write_entry("ready");
  }
  std::int64_t born = 1764800000000;
  int port() const { return server_.port(); }

 protected:
  /// A stream: events with rising ids after Last-Event-Id, one every work_ms().
  void stream(int fd, const Message& request, const std::string& request_id) {
    const auto index = runs_->begin(request_id, id);
    record().line("run    " + request_id + " begins at " + id + " (stream)");
    const auto after = request.field("Last-Event-Id");
    bool open = send_all(fd, "HTTP/1.1 200 OK\r\nSailgate-Request-Id: " + request_id +
                                 "\r\nSailgate-Seal: seal." + request_id +
                                 "\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n");
    for (int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1; event <= events && open;
         ++event) {
      const long until = now_ms() + work_ms(request);
      while (now_ms() < until && open) {
        sleep_ms(std::min(10L, until - now_ms()));
        open = !peer_closed(fd);
      }
      const auto number = std::to_string(event);
      const auto text = "id: " + number + "\ndata: " + request_id + "." + number + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      open = open && send_all(fd, size + text + "\r\n");
    }
    if (!open) {
      record().line("run    " + request_id + " dropped at " + id + ": its connection closed");
      return;
    }
    runs_->end(request_id, index);
    record().line("run    " + request_id + " ends at " + id);
    send_all(fd, "0\r\n\r\n");
  }

  virtual void run(int fd, const Message& request, const std::string& request_id) {
    if (events > 0) return stream(fd, request, request_id);
    const auto index = runs_->begin(request_id, id);
    record().line("run    " + request_id + " begins at " + id);
    const long until = now_ms() + work_ms(request);
    while (now_ms() < until) {
      sleep_ms(std::min(10L, until - now_ms()));
      // A request is dropped when its connection closes, unless it can't be stopped any more.
      if (drops && peer_closed(fd)) {
        record().line("run    " + request_id + " dropped at " + id + ": its connection closed");
        return;
      }
    }
    runs_->end(request_id, index);
    record().line("run    " + request_id + " ends at " + id);
    send_all(fd, answer_text(200, "OK",
                             {{"Sailgate-Request-Id", request_id},
                              {"Sailgate-Seal", "seal." + request_id},
                              {"Content-Type", "text/plain"},
                              {"Keep-Alive", "timeout=5"}},
                             "done " + request_id + "\n"));
  }

 public:
  bool drops = true;

 protected:
  void serve(int fd) {
    Reader reader(fd);
    while (true) {
      Message request;
      if (reader.whole(request, -1) != ReadEnd::kWhole) return;
      if (request.target() == "/healthz") {
        if (!send_all(fd, answer_text(200, "OK", {{"Sailgate-Instance", id}}, ""))) return;
        continue;
      }
      const auto request_id = request.field("Sailgate-Request-Id");
      const auto expected = request.field("Sailgate-Expect-Instance");
      if (!expected.empty() && expected != id) {
        send_all(fd, answer_text(421, "Misdirected Request",
                                 {{"Sailgate-Request-Id", request_id}, {"Sailgate-Instance", id}},
                                 ""));
        continue;
      }
      if (++active_ > slots) {
        --active_;
        if (!send_all(fd, answer_text(503, "Service Unavailable",
                                      {{"Sailgate-Request-Id", request_id},
                                       {"Sailgate-Not-Run", "1"}},
                                      ""))) {
          return;
        }
        continue;
      }
      run(fd, request, request_id);
      --active_;
      if (peer_closed(fd)) return;
    }
  }

  Store* store_ = nullptr;
  Runs* runs_ = nullptr;
  Server server_;
  std::atomic<int> active_{0};
};

}  // namespace lab

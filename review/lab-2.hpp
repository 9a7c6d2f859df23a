// Stand-ins and helpers of the scripts in review/4 to review/8: a table store, engines, callers and
// gateway processes, all on loopback addresses.
//
// Each simulated machine has an address of its own in 127.0.0.0/8, so that all nodes use the same
// ports, as on the users' machines.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline const Clock::time_point kStart = Clock::now();
inline long now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}
inline void sleep_ms(long ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// The record: one line per thing sent, answered or run.
inline FILE* record_file = nullptr;
inline std::mutex record_mutex;
inline void note(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%7ld ms  ", now_ms());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

/// Ends the script because the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  note("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(2);
}

/// The first two numbers of all addresses of this run: free with all but certainty, and checked.
inline std::string network() {
  static const std::string prefix = [] {
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + pid % 128) + "." + std::to_string(1 + (pid / 128) % 250);
  }();
  return prefix;
}
inline std::string address(int machine) { return network() + "." + std::to_string(machine); }

inline sockaddr_in socket_address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int listen_on(const std::string& ip, int port, int& bound) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = socket_address(ip, port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 128) != 0) {
    cannot_run("cannot listen on " + ip);
  }
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  bound = ntohs(address.sin_port);
  return fd;
}

/// A port that is free on the address now.
inline int free_port(const std::string& ip) {
  int port = 0;
  ::close(listen_on(ip, 0, port));
  return port;
}

inline bool same_name(const std::string& a, const std::string& b) {
  return ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Message {
  std::string first;  ///< request or status line
  Fields fields;
  std::string body;
  bool complete = false;  ///< the whole body came, by length, last chunk or end of connection

  std::string field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (same_name(key, name)) return value;
    }
    return {};
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
};

/// One connection that speaks HTTP/1.1.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {
    const int one = 1;
    if (fd_ >= 0) ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Wire() { close(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  static int connect_to(const std::string& ip, int port, int timeout_ms = 1000) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = socket_address(ip, port);
    int failed = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (failed != 0 && errno == EINPROGRESS) {
      pollfd query{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof(error);
      failed = ::poll(&query, 1, timeout_ms) == 1 &&
                       ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0
                   ? 0
                   : -1;
    }
    if (failed != 0) {
      ::close(fd);
      return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
  }

  bool open() const { return fd_ >= 0; }
  int descriptor() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return false;
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// Reads more bytes. @return false at the end of the connection, on an error or after the time.
  bool fill(int timeout_ms) {
    pollfd query{fd_, POLLIN, 0};
    if (fd_ < 0 || ::poll(&query, 1, timeout_ms) != 1) {
      timed_out_ = fd_ >= 0;
      return false;
    }
    timed_out_ = false;
    char bytes[16384];
    const auto size = ::recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool timed_out() const { return timed_out_; }
  /// The other side has closed the connection, and sent nothing more before.
  bool closed() const {
    char byte = 0;
    const auto size = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN);
  }

  /// Reads one message. @param has_body_without_length the body ends with the connection unless it
  /// states a length. @return false: not even a head came.
  bool read(Message& message, int timeout_ms, bool answer) {
    message = {};
    const auto until = now_ms() + timeout_ms;
    const auto more = [&] {
      const auto left = until - now_ms();
      return left > 0 && fill(static_cast<int>(left));
    };
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!more()) return false;
    }
    std::size_t at = buffer_.find("\r\n");
    message.first = buffer_.substr(0, at);
    while (at < end) {
      const auto from = at + 2;
      at = buffer_.find("\r\n", from);
      const auto line = buffer_.substr(from, at - from);
      const auto colon = line.find(':');
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields.emplace_back(line.substr(0, colon), value);
    }
    buffer_.erase(0, end + 4);
    if (same_name(message.field("Transfer-Encoding"), "chunked")) {
      while (true) {
        std::size_t line = std::string::npos;
        while ((line = buffer_.find("\r\n")) == std::string::npos) {
          if (!more()) return true;
        }
        const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line + 2 + size + 2) {
          if (!more()) return true;
        }
        message.body.append(buffer_, line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
        if (size == 0) break;
      }
      message.complete = true;
      return true;
    }
    const auto length = message.field("Content-Length");
    if (length.empty() && !answer) {
      message.complete = true;
      return true;
    }
    if (length.empty()) {
      while (more()) {
      }
      message.body = std::exchange(buffer_, {});
      message.complete = !timed_out_;
      return true;
    }
    const auto size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!more()) {
        message.body = std::exchange(buffer_, {});
        return true;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    message.complete = true;
    return true;
  }

 private:
  int fd_;
  std::string buffer_;
  bool timed_out_ = false;
};

/// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Wire&)>;
  Server(const std::string& ip, Serve serve) : ip_(ip), serve_(std::move(serve)) {
    fd_ = listen_on(ip, 0, port_);
    std::thread([this] {
      while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] {
          Wire wire(fd);
          serve_(wire);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string endpoint() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = static_cast<unsigned char>(bytes[i]) << 16;
    if (i + 1 < bytes.size()) value |= static_cast<unsigned char>(bytes[i + 1]) << 8;
    if (i + 2 < bytes.size()) value |= static_cast<unsigned char>(bytes[i + 2]);
    text += digits[value >> 18];
    text += digits[(value >> 12) & 63];
    text += i + 1 < bytes.size() ? digits[(value >> 6) & 63] : '=';
    text += i + 2 < bytes.size() ? digits[value & 63] : '=';
  }
  return text;
}

inline std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> fields;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return fields;
  std::string name;
  std::string text;
  for (std::size_t i = mark + 1; i <= target.size(); ++i) {
    if (i == target.size() || target[i] == '&') {
      fields[name] = text;
      name.clear();
      text.clear();
    } else if (target[i] == '=') {
      name = std::exchange(text, {});
    } else if (target[i] == '%') {
      text += static_cast<char>(std::strtol(target.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += target[i];
    }
  }
  return fields;
}

/// The platform's store, form "table": transactions under conditions, reads of a range, feeds.
class Store {
 public:
  static constexpr std::size_t kRowBytes = 65536;

  explicit Store(int machine)
      : server_(address(machine), [this](Wire& wire) { serve(wire); }) {}
  std::string endpoint() const { return server_.endpoint(); }

  /// Writes a row of the operator or of an engine.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    write({table, "", key}, base64(value));
    changed_.notify_all();
  }
  void remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    erase({table, "", key});
    changed_.notify_all();
  }
  /// While the store is down it answers 503 to all calls: nothing was done.
  void set_down(bool down) {
    down_ = down;
    changed_.notify_all();
  }
  bool down() const { return down_; }

 private:
  using Id = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    long ver = 0;
  };
  struct Change {
    long ver = 0;
    Id id;
    std::string value;
    bool gone = false;
  };

  void write(const Id& id, const std::string& value) {
    rows_[id] = {value, version_};
    changes_.push_back({version_, id, value, false});
  }
  void erase(const Id& id) {
    if (rows_.erase(id) > 0) changes_.push_back({version_, id, "", true});
  }
  static Id id_of(const Json& entry) {
    return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
  }
  static Json json_of(const Id& id, const std::string& value, long ver) {
    return {{"table", std::get<0>(id)},
            {"part", std::get<1>(id)},
            {"key", std::get<2>(id)},
            {"value", value},
            {"ver", ver}};
  }

  int transact(const Json& body, Json& answer) {
    for (const auto& entry : body.value("put", Json::array())) {
      if (entry.value("value", "").size() > (kRowBytes + 2) / 3 * 4) return 400;
      if (entry.value("key", "").size() > 200) return 400;
    }
    sleep_ms(3);
    const std::lock_guard<std::mutex> lock(mutex_);
    bool holds = true;
    Json current = Json::array();
    for (const auto& entry : body.value("expected_rev", Json::array())) {
      const auto row = rows_.find(id_of(entry));
      const long ver = row == rows_.end() ? 0 : row->second.ver;
      holds = holds && ver == entry.value("ver", 0L);
      current.push_back(json_of(id_of(entry), row == rows_.end() ? "" : row->second.value, ver));
    }
    answer["now_ms"] = now_ms() + 1000;
    if (!holds) {
      answer["rows"] = current;
      answer["ver"] = version_;
      return 412;
    }
    ++version_;
    for (const auto& entry : body.value("put", Json::array())) {
      write(id_of(entry), entry.value("value", ""));
    }
    for (const auto& entry : body.value("delete", Json::array())) erase(id_of(entry));
    answer["ver"] = version_;
    changed_.notify_all();
    return 200;
  }
  int get(std::map<std::string, std::string> query, Json& answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::size_t limit = query["limit"].empty() ? 500 : std::stoul(query["limit"]);
    answer["rows"] = Json::array();
    answer["more"] = false;
    for (auto row = rows_.lower_bound({query["table"], query["part"], query["from_key"]});
         row != rows_.end(); ++row) {
      const auto& [table, part, key] = row->first;
      if (table != query["table"] || part != query["part"]) break;
      if (!query["target_version"].empty() && key >= query["target_version"]) break;
      if (answer["rows"].size() == limit) {
        answer["more"] = true;
        break;
      }
      answer["rows"].push_back(json_of(row->first, row->second.value, row->second.ver));
    }
    answer["ver"] = version_;
    answer["now_ms"] = now_ms() + 1000;
    return 200;
  }
  int feed(std::map<std::string, std::string> query, Json& answer) {
    std::unique_lock<std::mutex> lock(mutex_);
    const long after = std::stol(query["after"]);
    const auto until = Clock::now() + std::chrono::milliseconds(std::stol(query["wait_ms"]));
    Json rows = Json::array();
    const auto find = [&] {
      for (const auto& change : changes_) {
        if (change.ver <= after || std::get<0>(change.id) != query["table"]) continue;
        auto row = json_of(change.id, change.value, change.ver);
        if (change.gone) row["gone"] = true;
        rows.push_back(row);
      }
      return !rows.empty();
    };
    while (!find() && !down_ && changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
    }
    answer["rows"] = rows;
    answer["ver"] = version_;
    answer["now_ms"] = now_ms() + 1000;
    return 200;
  }

  void serve(Wire& wire) {
    Message request;
    while (wire.read(request, 60'000, false)) {
      Json answer = Json::object();
      int status = 404;
      try {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        if (down_) {
          status = 503;
        } else if (path == "/sailgate/rows-tx") {
          status = transact(Json::parse(request.body), answer);
        }
        if (!down_ && path == "/sailgate/rows-get") status = get(query_of(target), answer);
        if (!down_ && path == "/sailgate/rows-feed") status = feed(query_of(target), answer);
      } catch (const std::exception&) {
        status = 400;
      }
      const auto body = answer.dump();
      const bool sent = wire.send("HTTP/1.1 " + std::to_string(status) +
                                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body);
      if (!sent) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Id, Row> rows_;
  std::vector<Change> changes_;
  long version_ = 1;
  std::atomic<bool> down_{false};
  Server server_;
};

/// What an engine keeps in the store about itself; written again about every heartbeat.
inline std::string entry(const std::string& service, const std::string& endpoint,
                         const std::string& zone, int slots, const std::string& state, long seq) {
  return Json({{"service", service},
               {"addr", endpoint},
               {"zone", zone},
               {"version", "v1"},
               {"slots", slots},
               {"state", state},
               {"cold_left_ms", 0},
               {"seq", seq}})
      .dump();
}

/// One gateway process on a machine of its own, started with the command of the deploy file.
class Node {
 public:
  Node(int machine, const std::string& zone, const std::string& store, const std::string& folder)
      : ip_(address(machine)), name_("edge-" + zone + "-" + std::to_string(machine)) {
    settings_ = folder + "/" + name_ + ".toml";
    log_ = folder + "/" + name_ + ".log";
    FILE* file = std::fopen(settings_.c_str(), "w");
    if (file == nullptr) cannot_run("no settings file");
    const char* ip = ip_.c_str();
    std::fprintf(file,
                 "node = \"%s\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n"
                 "serves = [\"edge\",\"control\"]\nip = \"%s\"\nzone = \"%s\"\nregion = \"bzh\"\n"
                 "port_range = [7380,7395]\nseeds = []\nbootstrap = true\nloss_counts = false\n"
                 "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
                 "[zones]\nrennes = \"bzh\"\n[listen]\nfront = \"%s:8149\"\nready = \"%s:8141\"\n"
                 "control = \"%s:8144\"\n[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\n"
                 "grace_s = 8\nconfig_deadline_ms = 2000\nrecover_s = 12\n"
                 "[provider]\naddr = \"%s\"\nform = \"table\"\nwrites_per_s = 800\n"
                 "reads_per_s = 2000\ntx_ms = 3.0\npart_writes_per_s = 300\nrow_bytes = 65536\n"
                 "across = true\nhistory_s = 20\n",
                 name_.c_str(), ip, zone.c_str(), ip, ip, ip, store.c_str());
    std::fclose(file);
    start();
  }
  ~Node() { stop(SIGKILL); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void start() {
    const char* program = "target/bin/sailgate-gateway";
    if (::access(program, X_OK) != 0) cannot_run("target/bin/sailgate-gateway is not built");
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also ends if the script is ended
    const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("SAILGATE_NODE_FILE", settings_.c_str(), 1);
    ::execl(program, program, "--metrics-port", "9464", static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  /// Ends the process. @return its status as of waitpid().
  int stop(int number) {
    if (pid_ <= 0) return 0;
    ::kill(pid_, number);
    ::kill(pid_, SIGCONT);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  /// Whether the process still runs.
  bool runs() {
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  /// Asks the question of the platform.
  bool ready() const {
    Wire wire(Wire::connect_to(ip_, 8141));
    Message answer;
    return wire.open() && wire.send("GET /sailgate/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
           wire.read(answer, 500, true) && answer.status() == 200;
  }
  void wait_until_ready() const {
    for (int i = 0; i < 200; ++i) {
      if (ready()) return;
      sleep_ms(50);
    }
    cannot_run(name_ + " is not ready");
  }
  int connect() const { return Wire::connect_to(ip_, 8149); }
  const std::string& name() const { return name_; }

 private:
  std::string ip_;
  std::string name_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

/// A temporary folder, removed at the end.
class Folder {
 public:
  Folder() {
    char path[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(path) == nullptr) cannot_run("no temporary folder");
    path_ = path;
  }
  ~Folder() {
    const bool kept = std::getenv("KEEP_LOGS") != nullptr;
    if (!kept) std::system(("rm -rf " + path_).c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline std::string request_id() {
  static std::atomic<unsigned> next{1};
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()) * 2654435761U,
                next++);
  return text;
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline void open_record(const char* path) {
  ::signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(path, "w");
  if (record_file == nullptr) cannot_run("no record");
  note("TROUBLE=%d", trouble() ? 1 : 0);
}

}  // namespace lab

// Stand-ins and helpers for the review scripts: a table store, engines, a load balancer and a
// client connection, all on loopback addresses and written from the protocol pages. One thread a
// connection; nothing here decides for the system under test.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point origin() {
  static const auto at = Clock::now();
  return at;
}
/// Milliseconds since the script began.
inline long now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - origin()).count();
}
inline void sleep_ms(long ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleep_until_ms(long at) { sleep_ms(at - now_ms()); }

/// record.txt: what was sent, answered and run.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> guard(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8ld %s\n", now_ms(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record& record() {
  static Record the;
  return the;
}

// ---------------------------------------------------------------- sockets

inline int tcp_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}
/// An address of the loopback network: 127.0.0.HOST.
inline sockaddr_in loopback(int port, int host = 1) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + static_cast<unsigned>(host));
  return address;
}
inline int listen_on(int port, int host = 1) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = loopback(port, host);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
/// Ports that nothing listens on now at 127.0.0.HOST, by TCP and by UDP; `count` adjacent ones.
inline int free_ports(int count, int host) {
  static std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 500; ++tries) {
    const int first = 12000 + static_cast<int>(random() % 18000);
    bool free = true;
    for (int i = 0; i < count && free; ++i) {
      const int tcp = listen_on(first + i, host);
      const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      auto address = loopback(first + i, host);
      free = tcp >= 0 &&
             ::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      if (tcp >= 0) ::close(tcp);
      ::close(udp);
    }
    if (free) return first;
  }
  std::exit(2);
}
inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}
/// Whether the peer has closed or reset the connection.
inline bool peer_closed(int fd) {
  char byte = 0;
  const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

// ---------------------------------------------------------------- HTTP

struct Message {
  std::string first;  ///< request or status line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return {};
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
};

enum class ReadEnd { kWhole, kClosed, kTimedOut };

/// Reads from a socket with a buffer.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// @param until in milliseconds of now_ms(); -1: no limit.
  bool fill(long until, ReadEnd& end) {
    pollfd wait{fd_, POLLIN, 0};
    const long left = until < 0 ? -1 : std::max(0L, until - now_ms());
    const int ready = ::poll(&wait, 1, static_cast<int>(left));
    if (ready == 0) {
      end = ReadEnd::kTimedOut;
      return false;
    }
    char bytes[16384];
    const auto n = ::recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      end = ReadEnd::kClosed;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool line(std::string& out, long until, ReadEnd& end) {
    while (true) {
      const auto at = buffer_.find("\r\n");
      if (at != std::string::npos) {
        out = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        return true;
      }
      if (!fill(until, end)) return false;
    }
  }
  bool bytes(std::string& out, std::size_t count, long until, ReadEnd& end) {
    while (buffer_.size() < count) {
      if (!fill(until, end)) return false;
    }
    out.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
  }
  ReadEnd head(Message& message, long until) {
    ReadEnd end = ReadEnd::kWhole;
    if (!line(message.first, until, end)) return end;
    while (true) {
      std::string text;
      if (!line(text, until, end)) return end;
      if (text.empty()) return ReadEnd::kWhole;
      const auto colon = text.find(':');
      auto value = colon == std::string::npos ? std::string() : text.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields.emplace_back(text.substr(0, colon), value);
    }
  }
  ReadEnd body(Message& message, long until) {
    ReadEnd end = ReadEnd::kWhole;
    if (::strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        std::string size;
        if (!line(size, until, end)) return end;
        const auto count = std::strtoul(size.c_str(), nullptr, 16);
        if (!bytes(message.body, count, until, end)) return end;
        std::string blank;
        if (!line(blank, until, end)) return end;
        if (count == 0) return ReadEnd::kWhole;
      }
    }
    const auto length = message.field("Content-Length");
    if (!length.empty() &&
        !bytes(message.body, std::strtoul(length.c_str(), nullptr, 10), until, end)) {
      return end;
    }
    return ReadEnd::kWhole;
  }
  ReadEnd whole(Message& message, long until) {
    const auto end = head(message, until);
    return end == ReadEnd::kWhole ? body(message, until) : end;
  }
  bool empty() const { return buffer_.empty(); }

 private:
  int fd_;
  std::string buffer_;
};

inline std::string answer_text(int status, const std::string& reason,
                               const std::vector<std::pair<std::string, std::string>>& fields,
                               const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each on a thread of its own until close() or the script's end.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  int start(Serve serve, int port = 0) {
    serve_ = std::move(serve);
    fd_ = listen_on(port);
    if (fd_ < 0) std::exit(2);
    port_ = port_of(fd_);
    std::thread([this, fd = fd_] {
      while (true) {
        const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        const int one = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        {
          const std::lock_guard<std::mutex> guard(mutex_);
          clients_.insert(client);
        }
        std::thread([this, client] {
          serve_(client);
          const std::lock_guard<std::mutex> guard(mutex_);
          clients_.erase(client);
          ::close(client);
        }).detach();
      }
    }).detach();
    return port_;
  }
  /// Ends as a process does: the port refuses, all connections close.
  void stop() {
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const int client : clients_) ::shutdown(client, SHUT_RDWR);
  }
  int port() const { return port_; }

 private:
  Serve serve_;
  std::mutex mutex_;
  std::set<int> clients_;
  int fd_ = -1;
  int port_ = 0;
};

// ---------------------------------------------------------------- the table store

inline std::string encode64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
    if (i + 1 < bytes.size()) value |= static_cast<unsigned char>(bytes[i + 1]) << 8U;
    if (i + 2 < bytes.size()) value |= static_cast<unsigned char>(bytes[i + 2]);
    text += digits[value >> 18U];
    text += digits[(value >> 12U) & 63U];
    text += i + 1 < bytes.size() ? digits[(value >> 6U) & 63U] : '=';
    text += i + 2 < bytes.size() ? digits[value & 63U] : '=';
  }
  return text;
}

/// The platform's store as PROTOCOL.md describes it: linearizable, loses nothing that it has
/// acknowledged.
class Store {
 public:
  struct Row {
    std::string value;  ///< base64
    std::int64_t ver = 0;
  };
  using Key = std::tuple<std::string, std::string, std::string>;  ///< table, part, key
  /// What happens to a write: true: it is done at once and answered.
  std::function<bool(const Json& call)> on_write;
  long answer_ms = 4;

  int start() {
    return server_.start([this](int fd) { serve(fd); });
  }
  int port() const { return server_.port(); }

  /// A write of the operator or of an engine.
  std::int64_t put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto ver = ++version_;
    set(Key{table, "", key}, encode64(value), ver);
    changed_.notify_all();
    return ver;
  }
  void remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> guard(mutex_);
    const auto ver = ++version_;
    drop(Key{table, "", key}, ver);
    changed_.notify_all();
  }
  std::size_t rows(const std::string& table) {
    const std::lock_guard<std::mutex> guard(mutex_);
    std::size_t count = 0;
    for (const auto& [key, row] : rows_) count += std::get<0>(key) == table ? 1 : 0;
    return count;
  }
  /// Does a write, as for a call whose answer is lost. @return HTTP status and body.
  std::pair<int, std::string> transact(const Json& call) {
    const std::lock_guard<std::mutex> guard(mutex_);
    Json held = Json::array();
    bool holds = true;
    for (const auto& entry : call.value("expected_rev", Json::array())) {
      const auto key = key_of(entry);
      const auto row = rows_.find(key);
      const auto ver = row == rows_.end() ? 0 : row->second.ver;
      holds = holds && ver == entry.value("ver", std::int64_t{0});
      Json now{{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)},
               {"ver", ver}};
      if (row != rows_.end()) now["value"] = row->second.value;
      held.push_back(now);
    }
    if (!holds) return {412, Json{{"rows", held}, {"ver", version_}, {"now_ms", now()}}.dump()};
    const auto ver = ++version_;
    for (const auto& entry : call.value("put", Json::array())) {
      set(key_of(entry), entry.value("value", ""), ver);
    }
    for (const auto& entry : call.value("delete", Json::array())) drop(key_of(entry), ver);
    changed_.notify_all();
    return {200, Json{{"ver", ver}, {"now_ms", now()}}.dump()};
  }

 private:
  struct Change {
    std::int64_t ver;
    Key key;
    bool gone;
  };

  static Key key_of(const Json& entry) {
    return Key{entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
  }
  std::int64_t now() const { return 1'000'000 + now_ms(); }
  void set(const Key& key, const std::string& value, std::int64_t ver) {
    rows_[key] = Row{value, ver};
    log_.push_back({ver, key, false});
  }
  void drop(const Key& key, std::int64_t ver) {
    if (rows_.erase(key) > 0) log_.push_back({ver, key, true});
  }
  static Json row_json(const Key& key, const Row& row) {
    return {{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)},
            {"value", row.value},        {"ver", row.ver}};
  }
  static std::map<std::string, std::string> query(const std::string& target) {
    std::map<std::string, std::string> fields;
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      const auto equals = pair.find('=');
      std::string value;
      for (std::size_t i = equals + 1; i < pair.size(); ++i) {
        if (pair[i] == '%') {
          value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      fields[pair.substr(0, equals)] = value;
      at = end;
    }
    return fields;
  }
  std::string get(const std::string& target) {
    auto fields = query(target);
    const std::lock_guard<std::mutex> guard(mutex_);
    const std::size_t limit =
        fields["limit"].empty() ? 500 : std::min(500, std::stoi(fields["limit"]));
    Json rows = Json::array();
    bool more = false;
    auto row = rows_.lower_bound(Key{fields["table"], fields["part"], fields["from_key"]});
    for (; row != rows_.end(); ++row) {
      const auto& [table, part, key] = row->first;
      if (table != fields["table"] || part != fields["part"]) break;
      if (!fields["target_version"].empty() && key >= fields["target_version"]) break;
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.push_back(row_json(row->first, row->second));
    }
    return Json{{"rows", rows}, {"more", more}, {"ver", version_}, {"now_ms", now()}}.dump();
  }
  std::string feed(const std::string& target) {
    auto fields = query(target);
    const auto after = std::stoll(fields["after"]);
    const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(fields["wait_ms"]));
    std::unique_lock<std::mutex> guard(mutex_);
    const auto find = [&] {
      std::map<Key, std::int64_t> found;
      for (auto change = log_.rbegin(); change != log_.rend() && change->ver > after; ++change) {
        if (std::get<0>(change->key) == fields["table"]) found.emplace(change->key, change->ver);
      }
      return found;
    };
    auto found = find();
    while (found.empty() && changed_.wait_until(guard, until) == std::cv_status::no_timeout) {
      found = find();
    }
    std::vector<std::pair<std::int64_t, Json>> ordered;
    for (const auto& [key, ver] : found) {
      const auto row = rows_.find(key);
      if (row != rows_.end()) {
        ordered.emplace_back(row->second.ver, row_json(key, row->second));
      } else {
        ordered.emplace_back(ver, Json{{"table", std::get<0>(key)}, {"part", std::get<1>(key)},
                                       {"key", std::get<2>(key)}, {"ver", ver}, {"gone", true}});
      }
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    Json rows = Json::array();
    for (auto& [ver, row] : ordered) rows.push_back(std::move(row));
    return Json{{"rows", rows}, {"ver", version_}, {"now_ms", now()}}.dump();
  }
  void serve(int fd) {
    Reader reader(fd);
    while (true) {
      Message call;
      if (reader.whole(call, -1) != ReadEnd::kWhole) return;
      const auto target = call.target();
      int status = 200;
      std::string body;
      sleep_ms(answer_ms);
      if (target.rfind("/sailgate/rows-tx", 0) == 0) {
        const auto json = Json::parse(call.body);
        if (on_write && !on_write(json)) return;  // the answer is lost with its connection
        std::tie(status, body) = transact(json);
      } else if (target.rfind("/sailgate/rows-get", 0) == 0) {
        body = get(target);
      } else if (target.rfind("/sailgate/rows-feed", 0) == 0) {
        body = feed(target);
      } else {
        status = 404;
      }
      if (!send_all(fd, answer_text(status, "X", {{"Content-Type", "application/json"}}, body))) {
        return;
      }
    }
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::deque<Change> log_;
  std::int64_t version_ = 0;
};

// ---------------------------------------------------------------- gateway processes

struct Node {
  std::string name;
  std::string zone = "rennes";
  int host = 1;  ///< its address is 127.0.0.HOST
  int front = 0;
  int ready = 0;
  int control = 0;
  int first_port = 0;
  pid_t pid = -1;
  std::string settings;
  std::string log;
};

inline std::string work_directory() {
  static const std::string path = [] {
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) std::exit(2);
    return name;
  }();
  return path;
}

/// Writes a settings file like that of DEPLOY.md. @param store port of the table store.
inline void write_settings(Node& node, int store, const std::string& more = "") {
  node.settings = work_directory() + "/" + node.name + ".toml";
  node.log = work_directory() + "/" + node.name + ".log";
  const auto ip = "127.0.0." + std::to_string(node.host);
  const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
  std::FILE* file = std::fopen(node.settings.c_str(), "w");
  if (file == nullptr) std::exit(2);
  std::fprintf(
      file,
      "node = \"%s\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n"
      "serves = [\"edge\",\"control\"]\nip = \"%s\"\nzone = \"%s\"\nregion = \"bzh\"\n"
      "port_range = [%d,%d]\nseeds = []\nbootstrap = true\nheartbeat_ms = 1200\n"
      "[listen]\nfront = \"%s\"\nready = \"%s\"\ncontrol = \"%s\"\n"
      "[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
      "config_deadline_ms = 2000\nrecover_s = 12\n%s"
      "[provider]\naddr = \"%s\"\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\n"
      "row_bytes = 65536\n",
      node.name.c_str(), ip.c_str(), node.zone.c_str(), node.first_port, node.first_port + 15,
      at(node.front).c_str(), at(node.ready).c_str(), at(node.control).c_str(), more.c_str(),
      ("127.0.0.1:" + std::to_string(store)).c_str());
  std::fclose(file);
}

inline std::vector<pid_t>& children() {
  static std::vector<pid_t> the;
  return the;
}

/// Starts the gateway with the command of the deploy file. Each node has an address of its own, so
/// that the port of the metrics is the same on all.
inline void start_gateway(Node& node) {
  const char* root = std::getenv("REVIEW_ROOT");
  if (root == nullptr) std::exit(2);
  const pid_t pid = ::fork();
  if (pid == 0) {
    if (::chdir(root) != 0) ::_exit(127);
    ::setenv("SAILGATE_NODE_FILE", node.settings.c_str(), 1);
    const int out = ::open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl("target/bin/sailgate-gateway", "target/bin/sailgate-gateway", "--metrics-port", "9464",
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  node.pid = pid;
  children().push_back(pid);
}

inline Node make_node(const std::string& name, const std::string& zone, int store,
                      const std::string& more = "") {
  Node node;
  node.name = name;
  node.zone = zone;
  static int hosts = 1;
  node.host = ++hosts;
  const int ports = free_ports(20, node.host);
  node.front = ports;
  node.ready = ports + 1;
  node.control = ports + 2;
  node.first_port = ports + 3;
  write_settings(node, store, more);
  start_gateway(node);
  return node;
}

/// @return whether the process has ended.
inline bool ended(pid_t pid) {
  int status = 0;
  return ::waitpid(pid, &status, WNOHANG) == pid || ::kill(pid, 0) != 0;
}

/// Ends all processes that this script started, removes the work directory and exits.
[[noreturn]] inline void finish(int code) {
  for (const auto pid : children()) ::kill(pid, SIGCONT);
  for (const auto pid : children()) ::kill(pid, SIGKILL);
  for (const auto pid : children()) ::waitpid(pid, nullptr, 0);
  if (std::getenv("KEEP_LOGS") == nullptr) {
    const auto directory = work_directory();
    const auto command = "rm -rf '" + directory + "'";
    if (std::system(command.c_str()) != 0) std::fprintf(stderr, "not removed: %s\n", directory.c_str());
  } else {
    std::fprintf(stderr, "logs: %s\n", work_directory().c_str());
  }
  std::_Exit(code);
}

// ---------------------------------------------------------------- clients

/// Asks the node's ready address as the platform does. @return whether it answered 200.
inline bool ask_ready(const Node& node, long wait_ms = 900) {
  const int fd = tcp_socket();
  auto address = loopback(node.ready, node.host);
  bool ok = false;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      send_all(fd, "GET /sailgate/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
    Message answer;
    Reader reader(fd);
    ok = reader.head(answer, now_ms() + wait_ms) == ReadEnd::kWhole && answer.status() == 200;
  }
  ::close(fd);
  return ok;
}

/// The platform's hand-over of new connections: asks each node once a second; two misses take a
/// node out, one 200 brings it back.
class Balancer {
 public:
  void start(std::vector<Node>* nodes) {
    nodes_ = nodes;
    misses_.assign(nodes->size(), 2);
    std::thread([this] {
      while (true) {
        for (std::size_t i = 0; i < nodes_->size(); ++i) {
          const bool ok = ask_ready((*nodes_)[i], 300);
          const std::lock_guard<std::mutex> guard(mutex_);
          misses_[i] = ok ? 0 : misses_[i] + 1;
        }
        sleep_ms(1000);
      }
    }).detach();
  }
  bool in(std::size_t node) {
    const std::lock_guard<std::mutex> guard(mutex_);
    return misses_[node] < 2;
  }
  /// The node for a new connection of a client: by a hash, among those that are in.
  std::size_t pick(std::size_t hash) {
    const std::lock_guard<std::mutex> guard(mutex_);
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < misses_.size(); ++i) {
      if (misses_[i] < 2) ready.push_back(i);
    }
    if (ready.empty()) return hash % misses_.size();
    return ready[hash % ready.size()];
  }

 private:
  std::vector<Node>* nodes_ = nullptr;
  std::mutex mutex_;
  std::vector<int> misses_;
};

/// A client's connection to a node.
class Connection {
 public:
  ~Connection() { close(); }
  bool open(const Node& node) {
    close();
    fd_ = tcp_socket();
    auto address = loopback(node.front, node.host);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close();
      return false;
    }
    reader_ = std::make_unique<Reader>(fd_);
    return true;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool is_open() const { return fd_ >= 0; }
  /// Whether the node has closed the connection while it rested.
  bool stale() const { return fd_ < 0 || peer_closed(fd_); }
  bool send(const std::string& bytes) { return send_all(fd_, bytes); }
  Reader& reader() { return *reader_; }
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

inline std::string request_id(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15ULL));
  return text;
}

}  // namespace lab

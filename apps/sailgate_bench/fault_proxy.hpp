/// @file A loopback proxy that delays, resets, cuts or silences the connections through it.
#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "net/asio.hpp"

namespace sailgate::bench {

/// What happens to bytes on a link.
enum class LinkMode {
  kPass,
  kDelay,   ///< bytes arrive late
  kReset,   ///< connections are reset, new ones too
  kSilent,  ///< nothing arrives in either direction
  kOneWay,  ///< requests arrive, answers do not
};

const char* name_of(LinkMode mode);

/// Links of one deployment, on an event loop and thread of their own. Thread-safe.
class FaultProxies {
 public:
  FaultProxies();
  FaultProxies(const FaultProxies&) = delete;
  FaultProxies& operator=(const FaultProxies&) = delete;
  ~FaultProxies();

  /// Adds a link. @param target "IP:PORT". @return "IP:PORT" that leads there.
  std::string add(const std::string& target);
  std::size_t count() const { return links_.size(); }
  /// "IP:PORT" that a link leads to.
  const std::string& target(std::size_t link) const;
  void set_mode(std::size_t link, LinkMode mode);
  void heal();

 private:
  struct Link;
  using Stream = std::shared_ptr<net::beast::tcp_stream>;

  net::asio::awaitable<void> accept(Link& link);
  net::asio::awaitable<void> serve(Link& link, net::asio::ip::tcp::socket socket);
  /// Passes bytes on until the link or an end breaks.
  net::asio::awaitable<void> pump(Link& link, Stream from, Stream to, bool answers);
  /// Waits out a delay or a silence. @return whether the bytes may go on.
  net::asio::awaitable<bool> may_pass(Link& link, bool answers);

  net::asio::io_context context_;
  net::asio::executor_work_guard<net::asio::io_context::executor_type> work_;
  std::list<std::unique_ptr<Link>> links_;
  std::thread loop_;
};

}  // namespace sailgate::bench

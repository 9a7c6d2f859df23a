#include "fault_proxy.hpp"

#include <array>
#include <iterator>

#include "node/node_settings.hpp"

namespace sailgate::bench {

namespace {

constexpr net::Millis kDelay{150};
constexpr net::Millis kPoll{20};
constexpr std::size_t kBufferBytes = std::size_t{16} << 10U;

/// Closes with a reset, as a broken link does.
void reset(net::asio::ip::tcp::socket& socket) {
  net::Error ignored;
  socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct FaultProxies::Link {
  Link(net::asio::io_context& context, std::string leads_to, const net::Endpoint& endpoint)
      : target(std::move(leads_to)),
        server(endpoint),
        acceptor(context, net::Endpoint(net::asio::ip::address_v4::loopback(), 0)) {}

  std::string target;
  net::Endpoint server;
  net::asio::ip::tcp::acceptor acceptor;
  std::atomic<LinkMode> mode{LinkMode::kPass};
};

const char* name_of(LinkMode mode) {
  switch (mode) {
    case LinkMode::kPass:
      return "pass";
    case LinkMode::kDelay:
      return "delay";
    case LinkMode::kReset:
      return "reset";
    case LinkMode::kSilent:
      return "silence";
    case LinkMode::kOneWay:
      return "one-way cut";
  }
  return "?";
}

FaultProxies::FaultProxies() : work_(context_.get_executor()), loop_([this] { context_.run(); }) {}

FaultProxies::~FaultProxies() {
  context_.stop();
  loop_.join();
}

std::string FaultProxies::add(const std::string& target) {
  const auto parsed = node::parse_address(target);
  const net::Endpoint endpoint(net::asio::ip::make_address(parsed.host),
                               static_cast<std::uint16_t>(parsed.port));
  links_.push_back(std::make_unique<Link>(context_, target, endpoint));
  auto& link = *links_.back();
  net::asio::co_spawn(context_, accept(link), net::asio::detached);
  const auto own = link.acceptor.local_endpoint();
  return own.address().to_string() + ":" + std::to_string(own.port());
}

const std::string& FaultProxies::target(std::size_t link) const {
  return (*std::next(links_.begin(), static_cast<std::ptrdiff_t>(link)))->target;
}

void FaultProxies::set_mode(std::size_t link, LinkMode mode) {
  (*std::next(links_.begin(), static_cast<std::ptrdiff_t>(link)))->mode = mode;
}

void FaultProxies::heal() {
  for (const auto& link : links_) link->mode = LinkMode::kPass;
}

net::asio::awaitable<void> FaultProxies::accept(Link& link) {
  while (true) {
    net::Error error;
    auto socket = co_await link.acceptor.async_accept(net::awaiting(error));
    if (error) co_return;
    net::asio::co_spawn(context_, serve(link, std::move(socket)), net::asio::detached);
  }
}

net::asio::awaitable<void> FaultProxies::serve(Link& link, net::asio::ip::tcp::socket socket) {
  if (link.mode == LinkMode::kReset) {
    reset(socket);
    co_return;
  }
  auto caller = std::make_shared<net::beast::tcp_stream>(std::move(socket));
  auto server = std::make_shared<net::beast::tcp_stream>(context_);
  net::Error error;
  co_await server->async_connect(link.server, net::awaiting(error));
  if (error) {
    reset(caller->socket());
    co_return;
  }
  net::asio::co_spawn(context_, pump(link, server, caller, true), net::asio::detached);
  co_await pump(link, caller, server, false);
}

net::asio::awaitable<bool> FaultProxies::may_pass(Link& link, bool answers) {
  if (link.mode == LinkMode::kDelay) co_await net::sleep_for(context_, kDelay);
  bool held = false;
  while (link.mode == LinkMode::kSilent || (link.mode == LinkMode::kOneWay && answers)) {
    held = true;
    co_await net::sleep_for(context_, kPoll);
  }
  // What a cut has held up does not arrive after it.
  co_return !held && link.mode != LinkMode::kReset;
}

net::asio::awaitable<void> FaultProxies::pump(Link& link, Stream from, Stream to, bool answers) {
  std::array<char, kBufferBytes> buffer{};
  while (true) {
    net::Error error;
    const auto size =
        co_await from->async_read_some(net::asio::buffer(buffer), net::awaiting(error));
    if (error) break;
    if (!co_await may_pass(link, answers)) {
      reset(from->socket());
      reset(to->socket());
      co_return;
    }
    co_await net::asio::async_write(*to, net::asio::buffer(buffer.data(), size),
                                    net::awaiting(error));
    if (error) break;
  }
  net::Error ignored;
  to->socket().shutdown(net::asio::ip::tcp::socket::shutdown_send, ignored);
}

}  // namespace sailgate::bench

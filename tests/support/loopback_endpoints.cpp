#include "support/loopback_endpoints.hpp"

#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace sailgate::test {

namespace {

constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint16_t kLastPort = 32'000;

/// 127.64.0.0/10 by process id; ids have at most 22 bits.
net::asio::ip::address_v4 own_address() {
  constexpr std::uint32_t kNetwork = 0x7F400000;
  constexpr std::uint32_t kHostMask = 0x003FFFFF;
  return net::asio::ip::address_v4(kNetwork | (static_cast<std::uint32_t>(getpid()) & kHostMask));
}

}  // namespace

net::Endpoint own_endpoint() {
  static std::uint16_t next_port = kFirstPort;
  if (next_port > kLastPort) throw std::runtime_error("no port is left for this process");
  return {own_address(), next_port++};
}

}  // namespace sailgate::test

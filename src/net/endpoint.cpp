#include "net/endpoint.hpp"

#include <charconv>
#include <stdexcept>

namespace sailgate::net {

Endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("'" + text + "' is not IP:PORT");
  Error error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  if (error) throw std::invalid_argument("'" + text + "' is not IP:PORT");
  std::uint16_t port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, port);
  if (parsed.ec != std::errc{} || parsed.ptr != last) {
    throw std::invalid_argument("'" + text + "' has no valid port");
  }
  return {address, port};
}

std::string format_endpoint(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace sailgate::net

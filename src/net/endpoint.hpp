/// @file Conversion between endpoints and text.
#pragma once

#include <string>

#include "net/asio.hpp"

namespace sailgate::net {

/// Parses "IP:PORT"; does not resolve host names. @throws std::invalid_argument
Endpoint parse_endpoint(const std::string& text);

/// @return "IP:PORT".
std::string format_endpoint(const Endpoint& endpoint);

}  // namespace sailgate::net

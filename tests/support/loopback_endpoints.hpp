/// @file Endpoints for the listeners of a test's own nodes.
#pragma once

#include "net/asio.hpp"

namespace sailgate::test {

/// Endpoint that nobody else uses: an address of the loopback network that belongs to this process
/// alone, a port that it has not handed out before, below those that the system gives to outgoing
/// connections. A port that was merely free a moment ago may be taken by the time it is bound.
/// @throws std::runtime_error when all ports were handed out.
net::Endpoint own_endpoint();

}  // namespace sailgate::test

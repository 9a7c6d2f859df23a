/// @file Answers of the node's own, from the table of error kinds.
#pragma once

#include "base/error_table.hpp"
#include "serving/client_channel.hpp"

namespace sailgate::serving {

/// Sends the answer for `kind`. @param retry_after when coming back may help; 0: as the table says.
/// @return whether the connection took it.
net::asio::awaitable<bool> send_refusal(ClientChannel& channel, wire::ErrorKind::type kind,
                                        net::Millis retry_after = net::Millis(0));

}  // namespace sailgate::serving

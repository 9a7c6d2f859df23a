/// @file Error responses that the node itself generates, based on the table of error kinds.
#pragma once

#include "base/error_table.hpp"
#include "serving/client_channel.hpp"

namespace sailgate::serving {

/// Sends the error response for `kind`.
/// @param retry_after for the Retry-After header, which is sent only if the table allows a retry;
/// 0: the value in the table. @return whether the response was written.
net::asio::awaitable<bool> send_refusal(ClientChannel& channel, wire::ErrorKind::type kind,
                                        net::Millis retry_after = net::Millis(0));

}  // namespace sailgate::serving

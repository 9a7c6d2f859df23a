/// @file Classifies the head of a response, beyond the syntax that the parser checks.
#pragma once

#include "net/asio.hpp"

namespace sailgate::net {

enum class ResponseHead {
  kFinal,
  kInterim,  ///< a further response to the same request follows
  kInvalid,  ///< the message is not a response to any request of this client
};

/// This client accepts no transfer coding but "chunked" and asks for no other protocol.
ResponseHead classify(const http::response_header<>& head);

}  // namespace sailgate::net

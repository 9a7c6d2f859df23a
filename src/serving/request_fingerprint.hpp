/// @file Identity of a request over all attempts of its caller.
#pragma once

#include <string>

#include "serving/call.hpp"

namespace sailgate::serving {

/// Hash of what stays the same when a caller sends its request again: tenant, method, host, target,
/// program, line, previous turn and body. Attempts have ids of their own, so the id says nothing.
/// Requests of different callers that agree in all of these have the same fingerprint. Computed on
/// first use. @return 32 hexadecimal digits.
const std::string& request_fingerprint(Call& call);

/// Hash of the headers that engines get and that a caller repeats in each attempt. Computed on
/// first use. @return 16 hexadecimal digits.
const std::string& header_digest(const EdgeProtocol& protocol, Call& call);

}  // namespace sailgate::serving

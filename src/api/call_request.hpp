/// @file A caller's call, parsed and checked.
#pragma once

#include <string>

#include "base/time.hpp"
#include "sailgate_types.h"

namespace sailgate::api {

/// Parsed body of POST /v1/programs/{id}/calls.
struct CallRequest {
  wire::AdmitCall admit;
  bool first_send = false;
  bool stream = false;
  base::Millis deadline = 0;
};

/// @throws http::BadBody
CallRequest parse_call(const std::string& program, const std::string& tenant,
                       const std::string& body);

/// Parsed body of POST /v1/programs. The id follows from tenant, parent and key, so that a repeated
/// request opens nothing new. @throws http::BadBody
wire::ProgramOpened parse_opening(const std::string& tenant, const std::string& body);

/// Longest program id, request key and name.
constexpr std::size_t kLongestName = 256;

}  // namespace sailgate::api

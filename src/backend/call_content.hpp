/// @file What a caller wants from a back end, kept as the journal's request body.
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::backend {

/// A granted attempt as the back-end adapters send it.
struct AttemptOrder {
  std::string program;
  std::int32_t sequence = 0;
  std::string request_key;
  wire::TargetKind::type target_kind = wire::TargetKind::kEngine;
  std::string target;        ///< model, operation or tool
  std::string request_body;  ///< JSON: chat messages, or an object of arguments
  wire::Grant grant;
};

}  // namespace sailgate::backend

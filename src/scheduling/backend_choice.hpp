/// @file Selection of the back end that serves a call.
#pragma once

#include <string>
#include <vector>

#include "sailgate_types.h"
#include "scheduling/backend_directory.hpp"

namespace sailgate::scheduling {

/// Properties of a call that the selection depends on.
struct CallContext {
  wire::TargetKind::type target_kind = wire::TargetKind::kEngine;
  std::string target;  ///< model, operation or tool
  /// Engines that served the program before, oldest first; they may still cache its prefix.
  std::vector<std::string> engines_with_prefix;
  std::string zone;  ///< zone of the node that makes the choice
};

/// The chosen back end, or the reason why none was chosen.
struct BackendChoice {
  std::string backend;
  wire::ErrorKind::type error = wire::ErrorKind::kNone;
};

/// Chooses among the back ends that serve the target and are not leaving the fleet. Back ends that
/// are unsuitable or at capacity are filtered out; the rest are ranked by a score of cached prefix,
/// load and zone. The functions are virtual so that experiments and fault-injection tests can
/// replace the policy.
class BackendChooser {
 public:
  BackendChooser() = default;
  BackendChooser(const BackendChooser&) = delete;
  BackendChooser& operator=(const BackendChooser&) = delete;
  virtual ~BackendChooser() = default;

  /// @return kNoFeasibleBackend if no back end serves the target, kOverloaded if all that serve it
  /// are at capacity.
  virtual BackendChoice choose(const CallContext& call, const BackendDirectory& directory) const;

 protected:
  /// Whether a back end serves the target and accepts new work. Ignores load.
  virtual bool feasible(const CallContext& call, const BackendState& state) const;
};

}  // namespace sailgate::scheduling

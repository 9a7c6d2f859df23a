/// @file Decision which back end serves a call.
#pragma once

#include <string>
#include <vector>

#include "sailgate_types.h"
#include "scheduling/backend_directory.hpp"

namespace sailgate::scheduling {

/// What the decision may look at.
struct CallContext {
  wire::TargetKind::type target_kind = wire::TargetKind::kEngine;
  std::string target;  ///< model, operation or tool
  std::vector<std::string>
      engines_with_prefix;  ///< engines that hold the program's prefix, oldest first
  std::string zone;         ///< zone of the deciding node
};

/// A back end, or why there is none.
struct BackendChoice {
  std::string backend;
  wire::ErrorKind::type error = wire::ErrorKind::kNone;
};

/// Chooses among back ends that serve the target and are not leaving: hard filters first, then a
/// score of cached prefix, load and zone. Replaceable for experiments and proofs.
class BackendChooser {
 public:
  BackendChooser() = default;
  BackendChooser(const BackendChooser&) = delete;
  BackendChooser& operator=(const BackendChooser&) = delete;
  virtual ~BackendChooser() = default;

  /// @return kNoFeasibleBackend when none serves the target, kOverloaded when all that do are full.
  virtual BackendChoice choose(const CallContext& call, const BackendDirectory& directory) const;

 protected:
  /// Hard filter: serves the target and takes new work.
  virtual bool feasible(const CallContext& call, const BackendState& state) const;
};

}  // namespace sailgate::scheduling

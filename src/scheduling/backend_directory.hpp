/// @file Back ends available to a node and their last known load.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "sailgate_types.h"

namespace sailgate::scheduling {

/// Static description of one back end, taken from the settings.
struct Backend {
  std::string id;  ///< "host:port"; unique
  wire::TargetKind::type kind = wire::TargetKind::kEngine;
  std::set<std::string> targets;  ///< models, operations or tool names it serves
  std::string zone;
  std::int32_t capacity = 16;  ///< maximum concurrent attempts from one node
};

/// Back end and its run-time state.
struct BackendState {
  Backend backend;
  bool leaving = false;            ///< accepts no new attempts
  std::int32_t outstanding = 0;    ///< attempts that this node granted and that have not ended
  std::int32_t reported_load = 0;  ///< load in the back end's most recent report
  base::Millis reported_at = 0;
};

/// Table of back ends by id. Updates for an unknown id are ignored. Not thread-safe; owned by
/// the node's core.
class BackendDirectory {
 public:
  void add(Backend backend);
  void set_leaving(const std::string& id, bool leaving);
  void set_reported_load(const std::string& id, std::int32_t load, base::Millis now);
  void attempt_started(const std::string& id);
  void attempt_ended(const std::string& id);

  const std::map<std::string, BackendState>& backends() const { return backends_; }
  const BackendState* find(const std::string& id) const;

 private:
  std::map<std::string, BackendState> backends_;
};

}  // namespace sailgate::scheduling

#include "base/mechanisms.hpp"

#include <array>
#include <stdexcept>

namespace sailgate::base {

namespace {

struct Switch {
  const char* name;
  bool Mechanisms::*enabled;
};

constexpr std::array kSwitches{
    Switch{"escrow", &Mechanisms::escrow},
    Switch{"homes", &Mechanisms::homes},
    Switch{"gathering", &Mechanisms::gathering},
    Switch{"relay", &Mechanisms::relay},
    Switch{"lines", &Mechanisms::lines},
    Switch{"affinity", &Mechanisms::affinity},
    Switch{"peer-loads", &Mechanisms::peer_loads},
    Switch{"avoidance", &Mechanisms::avoidance},
    Switch{"overload", &Mechanisms::overload},
    Switch{"resuming", &Mechanisms::resuming},
    Switch{"peer-failures", &Mechanisms::peer_failures},
    Switch{"readiness", &Mechanisms::readiness},
    Switch{"fairness", &Mechanisms::fairness},
    Switch{"holding", &Mechanisms::holding},
    Switch{"speeds", &Mechanisms::speeds},
    Switch{"prompts", &Mechanisms::prompts},
    Switch{"quarantine", &Mechanisms::quarantine},
};

}  // namespace

std::vector<std::string> mechanism_names() {
  std::vector<std::string> names;
  names.reserve(kSwitches.size());
  for (const auto& entry : kSwitches) names.emplace_back(entry.name);
  return names;
}

void switch_off(Mechanisms& mechanisms, const std::string& name) {
  for (const auto& entry : kSwitches) {
    if (name != entry.name) continue;
    mechanisms.*entry.enabled = false;
    return;
  }
  throw std::invalid_argument("there is no mechanism '" + name + "'");
}

}  // namespace sailgate::base

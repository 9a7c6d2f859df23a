/// @file Links between zones with delay, loss, duplication and cuts.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "base/random.hpp"
#include "simulation/event_queue.hpp"

namespace sailgate::simulation {

/// Delivers closures between named hosts. Not thread-safe.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  /// Sends one message; it may be delayed, lost or delivered twice.
  void send(const std::string& from, const std::string& to, const std::function<void()>& deliver) {
    if (cuts_.count({from, to}) > 0) return;
    deliver_once(from, to, deliver);
    if (disturbed_ && random_.chance(kDuplicatePercent)) deliver_once(from, to, deliver);
  }

  /// One-way cut.
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal_all() {
    cuts_.clear();
    disturbed_ = false;
  }
  /// While disturbed, messages are delayed at random, so reordered, and some duplicated.
  void disturb(bool on) { disturbed_ = on; }

 private:
  static constexpr base::Millis kLinkDelay = 2;
  static constexpr std::uint64_t kDisturbedDelay = 300;
  static constexpr std::uint64_t kDuplicatePercent = 10;

  void deliver_once(const std::string& from, const std::string& to,
                    const std::function<void()>& deliver) {
    base::Millis delay = kLinkDelay;
    if (disturbed_) delay += static_cast<base::Millis>(random_.below(kDisturbedDelay));
    events_.after(delay, [this, from, to, deliver] {
      if (cuts_.count({from, to}) == 0) deliver();
    });
  }

  EventQueue& events_;
  base::Random random_;
  std::set<std::pair<std::string, std::string>> cuts_;
  bool disturbed_ = false;
};

}  // namespace sailgate::simulation

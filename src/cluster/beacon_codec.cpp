#include "cluster/beacon_codec.hpp"

#include <array>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

template <typename Message>
void leave_out_prompts(Message& message) {
  message.prompts.clear();
  message.__isset.prompts = false;
}

template <typename Message>
void leave_out_speeds(Message& message) {
  message.speeds.clear();
  message.__isset.speeds = false;
}

template <typename Message>
void leave_out_begun(Message& message) {
  message.begun.clear();
  message.__isset.begun = false;
}

template <typename Message>
void leave_out_failures(Message& message) {
  message.failures.clear();
  message.__isset.failures = false;
}

void leave_out_silent(wire::Beacon& message) {
  message.silent.clear();
  message.__isset.silent = false;
}

void leave_out_nothing(wire::ZoneSummary& /*message*/) {}

template <typename Message>
void leave_out_loads(Message& message) {
  message.loads.clear();
}

template <typename Message>
void leave_out_ages(Message& message) {
  for (auto& [tenant, usage] : message.tenants) {
    usage.parts.clear();
    usage.__isset.parts = false;
  }
}

/// What is left out, the least needed first; each from a beacon and from its summary.
struct Figure {
  void (*from_beacon)(wire::Beacon&);
  void (*from_summary)(wire::ZoneSummary&);
};

constexpr std::array kLeastNeededFirst{
    Figure{&leave_out_prompts, &leave_out_prompts},
    Figure{&leave_out_speeds, &leave_out_speeds},
    Figure{&leave_out_begun, &leave_out_begun},
    Figure{&leave_out_failures, &leave_out_failures},
    Figure{&leave_out_silent, &leave_out_nothing},
    Figure{&leave_out_loads, &leave_out_loads},
    Figure{&leave_out_ages, &leave_out_ages},
};

}  // namespace

std::string encode_beacon(wire::Beacon beacon) {
  auto bytes = wire::encode(beacon);
  for (const auto& figure : kLeastNeededFirst) {
    if (bytes.size() <= kMostBeaconBytes) break;
    figure.from_beacon(beacon);
    if (beacon.__isset.summary) figure.from_summary(beacon.summary);
    bytes = wire::encode(beacon);
  }
  return bytes;
}

}  // namespace sailgate::cluster

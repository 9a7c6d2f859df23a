#include "cluster/beacon_codec.hpp"

#include <array>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

template <typename Message>
void drop_prompts(Message& message) {
  message.prompts.clear();
  message.__isset.prompts = false;
}

template <typename Message>
void drop_speeds(Message& message) {
  message.speeds.clear();
  message.__isset.speeds = false;
}

template <typename Message>
void drop_begun(Message& message) {
  message.begun.clear();
  message.__isset.begun = false;
}

template <typename Message>
void drop_failures(Message& message) {
  message.failures.clear();
  message.__isset.failures = false;
}

void drop_silent(wire::Beacon& message) {
  message.silent.clear();
  message.__isset.silent = false;
}

void drop_nothing(wire::ZoneSummary& /*message*/) {}

template <typename Message>
void drop_loads(Message& message) {
  message.loads.clear();
}

template <typename Message>
void drop_usage_parts(Message& message) {
  for (auto& [tenant, usage] : message.tenants) {
    usage.parts.clear();
    usage.__isset.parts = false;
  }
}

/// Drops one kind of field from a beacon and from its summary.
struct DroppableField {
  void (*from_beacon)(wire::Beacon&);
  void (*from_summary)(wire::ZoneSummary&);
};

/// The least important field comes first.
constexpr std::array kDropOrder{
    DroppableField{&drop_prompts, &drop_prompts},
    DroppableField{&drop_speeds, &drop_speeds},
    DroppableField{&drop_begun, &drop_begun},
    DroppableField{&drop_failures, &drop_failures},
    DroppableField{&drop_silent, &drop_nothing},
    DroppableField{&drop_loads, &drop_loads},
    DroppableField{&drop_usage_parts, &drop_usage_parts},
};

}  // namespace

std::string encode_beacon(wire::Beacon beacon) {
  auto bytes = wire::encode(beacon);
  for (const auto& field : kDropOrder) {
    if (bytes.size() <= kMaxBeaconBytes) break;
    field.from_beacon(beacon);
    if (beacon.__isset.summary) field.from_summary(beacon.summary);
    bytes = wire::encode(beacon);
  }
  return bytes;
}

}  // namespace sailgate::cluster

/// @file Engines as the store lists them, and what this node knows of each.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "balancing/believed_speed.hpp"
#include "balancing/speed_step.hpp"
#include "net/asio.hpp"

namespace sailgate::balancing {

/// One run of an engine, as it registered itself. An engine that starts again under its name has
/// forgotten all prompts and requests, so that whatever is believed of an engine is kept by `id`.
struct EngineRecord {
  std::string id;    ///< of this run; see run_id()
  std::string name;  ///< kept over restarts: the key of its entry; empty: the same as `id`
  std::optional<std::int64_t> started_ms;  ///< of this run, by the engine's clock, where it tells
  std::string service;
  net::Endpoint endpoint;
  std::string zone;
  int slots = 1;
  bool draining = false;

  const std::string& entry_key() const { return name.empty() ? id : name; }
};

/// Names a run of an engine. Nodes that read the same entry give the same name, and a start that
/// lies before the known one, since clocks are set back, makes another run just as well.
inline std::string run_id(const std::string& name, std::optional<std::int64_t> started_ms) {
  return started_ms ? name + '@' + std::to_string(*started_ms) : name;
}

/// An engine with this node's own observations. Requests under way hold it by shared pointer, so it
/// outlives its entry in the registry.
struct Engine {
  EngineRecord record;
  int in_flight = 0;             ///< requests of this node at the engine
  int peer_in_flight = 0;        ///< requests of other nodes there, as their beacons said
  int idle_connections = 0;      ///< kept by this node
  int consecutive_failures = 0;  ///< since the last good answer
  net::TimePoint failed_at{};    ///< the last of them
  net::TimePoint answered_at{};  ///< the last good answer to this node
  bool awaiting_probe = false;   ///< fails for many nodes: another node tries it for all
  bool zone_silent = false;      ///< nothing of its zone is heard: other engines come first
  net::TimePoint avoid_until{};  ///< after a refusal or failure: other engines come first
  EngineSpeed own_speed;         ///< as this node's exchanges tell
  SpeedEstimate speed_estimate;  ///< as all nodes tell
  double speed = 1;              ///< over the usual engine's of the service; the choice's input
  SpeedStep speed_step;          ///< of `speed`, for the log
  bool leaving = false;          ///< said so itself, or its entry is gone: no new requests
  bool entry_unusable = false;   ///< its entry names no engine for now: no new requests

  bool usable() const { return !leaving && !record.draining && !entry_unusable; }
};

}  // namespace sailgate::balancing

/// @file Engine records as listed in the store, and this node's state for each engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "balancing/believed_speed.hpp"
#include "balancing/speed_step.hpp"
#include "net/asio.hpp"

namespace sailgate::balancing {

/// One run (process lifetime) of an engine, as it registered itself. An engine that restarts under
/// the same name has lost its cached prompts and its requests, so all state about an engine is
/// keyed by `id`, which is unique to the run.
struct EngineRecord {
  std::string id;    ///< of this run; see run_id()
  std::string name;  ///< stable across restarts, key of the store entry; empty: same as `id`
  std::optional<std::int64_t> started_ms;  ///< start of this run by the engine's clock, if reported
  std::string service;
  net::Endpoint endpoint;
  std::string zone;
  std::string software_version;  ///< empty: not reported
  int slots = 1;
  bool draining = false;

  const std::string& entry_key() const { return name.empty() ? id : name; }
};

/// Identifier of one run of an engine. All nodes derive the same identifier from the same entry. A
/// start time earlier than the known one also denotes a new run, since clocks can be set back.
inline std::string run_id(const std::string& name, std::optional<std::int64_t> started_ms) {
  return started_ms ? name + '@' + std::to_string(*started_ms) : name;
}

/// 32-bit hash of a run id, by which nodes report about engines to each other. Two engines collide
/// with a probability of about one in four billion; a collision only makes both look busier or
/// slower than they are.
std::int32_t engine_key(const std::string& engine_id);

/// An engine with this node's observations of it. Requests in flight hold it by shared pointer, so
/// it can outlive its entry in the registry.
struct Engine {
  EngineRecord record;
  std::int32_t key = 0;          ///< engine_key() of the record's id
  int in_flight = 0;             ///< requests of this node at the engine
  int peer_in_flight = 0;        ///< requests of other nodes at the engine, from their beacons
  int idle_connections = 0;      ///< pooled by this node
  int consecutive_failures = 0;  ///< since the last successful response
  net::TimePoint failed_at{};    ///< time of the last failure
  net::TimePoint answered_at{};  ///< time of the last successful response to this node
  net::TimePoint heard_at{};     ///< time of the last bytes that this node received from it
  net::TimePoint lost_at{};      ///< time of the first request that it may have ended under since
  bool awaiting_probe = false;   ///< fails for several nodes; another node probes it for all
  bool zone_silent = false;      ///< no contact with its zone: other engines are preferred
  net::TimePoint
      avoid_until{};      ///< after a refusal or failure: other engines are preferred until then
  EngineSpeed own_speed;  ///< measured by this node's exchanges
  SpeedEstimate speed_estimate;  ///< from the measurements of all nodes
  double speed = 1;              ///< relative to the service's normal speed; used for selection
  SpeedStep speed_step;          ///< of `speed`, for logging
  bool leaving = false;         ///< it announced its shutdown or its entry is gone: no new requests
  bool entry_unusable = false;  ///< its entry is currently invalid: no new requests

  bool usable() const { return !leaving && !record.draining && !entry_unusable; }
};

}  // namespace sailgate::balancing

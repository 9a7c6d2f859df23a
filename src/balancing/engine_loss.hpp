/// @file A run of a request that its engine may not have survived.
#pragma once

#include <string>

#include "balancing/engine_registry.hpp"
#include "net/asio.hpp"

namespace sailgate::balancing {

/// What a node found when it asked an engine for its health after an exchange broke.
enum class EngineFate {
  kUnknown = 0,  ///< no answer
  kAlive = 1,    ///< it answered, which says nothing of what becomes of it afterwards
  kEnded = 2,    ///< its address refuses connections; final
};

/// What is known of an engine under a request.
enum class LossVerdict {
  kSurvived,  ///< it was heard so long afterwards that the request did not end it
  kOpen,      ///< it answered, or may yet answer, but the request may still end it
  kEnded,     ///< it ended, or nobody has heard it since
};

/// Stable name for logs and metrics.
const char* name_of(EngineFate fate);

/// The exchange of one run broke, or nothing more came of it.
struct EngineLoss {
  std::string engine;   ///< id of the engine's run
  std::string attempt;  ///< caller's attempt during which the engine was lost
  std::string headers;  ///< digest of the request's headers, see serving::header_digest()
  bool shared = false;  ///< several callers may send the same request at the same time
  net::TimePoint began{};
  net::TimePoint ended{};
  EngineFate fate = EngineFate::kUnknown;
  net::TimePoint looked_at{};  ///< when `fate` was found, or a running one's engine was silent
  /// Told before the request is sent, so that other nodes know of it if this one is lost; `ended`
  /// is the time of sending.
  bool running = false;
  /// The request did not reach the engine, or was refused by it: the run counts nowhere.
  bool withdrawn = false;

  /// From then on, an engine that is heard has survived.
  net::TimePoint settles_at() const { return ended + kSettleTime; }

  /// A process that fails can close one connection and answer on others for a while.
  static constexpr net::Millis kSettleTime{1000};
};

/// Notes at the engine of a loss that another node has not heard it, unless this one has since: it
/// gets no requests for a while, and did not end under requests that are sent from now on.
void note_silence(const EngineLoss& loss, const EngineRegistry& engines, net::TimePoint now);

/// Judges a loss by what was found of the engine, by the list of engines and by when this node
/// last heard the engine. An open loss whose settles_at() has passed needs another look.
LossVerdict judge(const EngineLoss& loss, const EngineRegistry& engines, net::TimePoint now);

}  // namespace sailgate::balancing

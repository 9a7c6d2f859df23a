#include "balancing/engine_loss.hpp"

namespace sailgate::balancing {

namespace {

/// An engine that starts again at once accepts connections before its new entry is read.
constexpr net::Millis kRestartNotice{3000};
/// Bytes that an engine sent before its end may be read this much later.
constexpr net::Millis kReadDelay{100};

}  // namespace

const char* name_of(EngineFate fate) {
  switch (fate) {
    case EngineFate::kUnknown:
      return "unknown";
    case EngineFate::kAlive:
      return "alive";
    case EngineFate::kEnded:
      return "ended";
  }
  return "";
}

bool may_have_ended(const EngineLoss& loss, const EngineRegistry& engines) {
  if (loss.fate == EngineFate::kEnded) return true;
  if (const auto superseded = engines.superseded_at(loss.engine)) {
    return *superseded <= loss.ended + kRestartNotice;
  }
  if (loss.fate == EngineFate::kAlive) return false;
  const auto engine = engines.find(loss.engine);
  return engine == nullptr || engine->heard_at <= loss.ended + kReadDelay;
}

}  // namespace sailgate::balancing

#include "balancing/engine_loss.hpp"

#include <algorithm>

namespace sailgate::balancing {

namespace {

/// The list of engines shows within this time that an engine ended.
constexpr net::Millis kEndNotice{3000};

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

void note_silence(const EngineLoss& loss, const EngineRegistry& engines, net::TimePoint now) {
  const bool silent = loss.fate != EngineFate::kAlive && loss.looked_at > loss.began;
  if (!silent || loss.withdrawn) return;
  const auto engine = engines.find(loss.engine);
  if (engine == nullptr || engine->heard_at >= loss.looked_at) return;
  if (engine->lost_at <= engine->heard_at) engine->lost_at = loss.looked_at;
  const auto until = loss.looked_at + EngineLoss::kSettleTime;
  if (until > now) engine->avoid_until = std::max(engine->avoid_until, until);
}

LossVerdict judge(const EngineLoss& loss, const EngineRegistry& engines, net::TimePoint now) {
  if (loss.fate == EngineFate::kEnded) return LossVerdict::kEnded;
  const auto gone_at = engines.gone_at(loss.engine);
  if (gone_at && *gone_at <= loss.ended + kEndNotice) return LossVerdict::kEnded;
  const auto engine = engines.find(loss.engine);
  auto heard_at = engine == nullptr ? net::TimePoint{} : engine->heard_at;
  if (loss.fate == EngineFate::kAlive) heard_at = std::max(heard_at, loss.looked_at);
  if (heard_at >= loss.settles_at()) return LossVerdict::kSurvived;
  if (engines.has_ended(loss.engine)) return LossVerdict::kSurvived;
  const bool silent = loss.looked_at >= loss.settles_at() || engine == nullptr;
  return silent && now >= loss.settles_at() ? LossVerdict::kEnded : LossVerdict::kOpen;
}

}  // namespace sailgate::balancing

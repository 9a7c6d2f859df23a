/// @file The engines that were lost under one request.
#pragma once

#include <functional>
#include <vector>

#include "balancing/engine_loss.hpp"

namespace sailgate::balancing {

/// Losses under requests with the same fingerprint, by whichever node observed them. The result
/// does not depend on the order in which they become known. Performs no I/O.
class LossHistory {
 public:
  /// Adds a loss, or what is newly known of one: the times only ever grow by the way that the
  /// report took, so the earliest count, and stronger evidence replaces weaker.
  void add(EngineLoss loss);
  /// A run that began at this time brought a whole response: the request does not end engines, and
  /// those that were lost under earlier runs ended for other reasons.
  void record_success(net::TimePoint began);

  /// Number of engines that one caller's request may have ended. Of a shared request, losses whose
  /// runs overlap count once: one caller's attempts follow one another, while a crash of many
  /// engines breaks many runs of a popular request at once. For each caller the result is at least
  /// the number of engines that ended under its request.
  /// @param counts whether the engine of a loss may have ended.
  int lost_engines(const std::function<bool(const EngineLoss&)>& counts) const;

  const std::vector<EngineLoss>& losses() const { return losses_; }
  net::TimePoint succeeded_at() const { return succeeded_at_; }

 private:
  /// Bounds the memory.
  static constexpr std::size_t kMaxLosses = 16;

  /// Whether the run began after another one had ended.
  static bool follows(const EngineLoss& loss, const EngineLoss& before);
  /// Drops the first loss that overlaps the one before it, else the first.
  void drop_one();

  std::vector<EngineLoss> losses_;  ///< by end
  net::TimePoint succeeded_at_{};
};

}  // namespace sailgate::balancing

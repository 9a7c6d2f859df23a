/// @file The engines that were lost under one request.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "balancing/engine_loss.hpp"

namespace sailgate::balancing {

/// How many engines one caller's request may have ended.
struct LossCount {
  int ended = 0;
  int open = 0;      ///< whose fate is not known yet
  int survived = 0;  ///< that broke an exchange and lived on
  /// When the first of the open ones settles; nullopt if none is open.
  std::optional<net::TimePoint> settles_at;

  /// Engines that may end under a request.
  static constexpr int kMaxEnded = 3;

  bool at_limit() const { return ended >= kMaxEnded; }
  /// Whether a further engine might be one too many. After as many engines as may end have
  /// survived, the request goes to one at a time, so that engines which end later than a loss
  /// settles are found out one by one.
  bool must_wait() const {
    const int allowed = survived >= kMaxEnded ? 1 : kMaxEnded;
    return at_limit() || ended + open >= kMaxEnded || open >= allowed;
  }
};

/// Losses under requests with the same fingerprint, by whichever node observed them. The result
/// does not depend on the order in which they become known. Performs no I/O.
///
/// Such requests may differ in their headers. Those with the same headers are taken for the same
/// request. Losses under several different headers count for all, since some callers send headers
/// that change with each attempt; those that brought a whole response are exempt.
class LossHistory {
 public:
  using Judge = std::function<LossVerdict(const EngineLoss&)>;

  /// Adds a loss, or what is newly known of one: the times only ever grow by the way that the
  /// report took, so the earliest count; an end is final, otherwise the later look counts.
  void add(EngineLoss loss);
  /// The engine did not run the request that a running loss was recorded for.
  /// @return whether there is such a loss.
  bool withdraw(const std::string& engine, const std::string& attempt);
  /// A run with these headers that began at this time brought a whole response: the request does
  /// not end engines, and those that were lost under earlier runs ended for other reasons.
  /// @return whether it clears a loss.
  bool record_success(const std::string& headers, net::TimePoint began);

  /// Of a shared request, losses whose runs overlap count once: one caller's attempts follow one
  /// another, while a crash of many engines breaks many runs of a popular request at once. For each
  /// caller the result is at least the number of engines that ended under its request.
  LossCount count(const Judge& judge, const std::string& headers) const;
  /// The count for headers that were not seen before.
  LossCount count_for_all(const Judge& judge) const;

  const std::vector<EngineLoss>& losses() const { return losses_; }
  /// Start of the last run that brought a whole response, by headers.
  const std::map<std::string, net::TimePoint>& successes() const { return succeeded_at_; }
  /// Grows with each loss that is added.
  std::size_t version() const { return version_; }

 private:
  /// Bounds the memory.
  static constexpr std::size_t kMaxLosses = 16;
  static constexpr std::size_t kMaxSuccesses = 16;

  using Filter = std::function<bool(const EngineLoss&)>;

  std::vector<EngineLoss>::iterator find(const std::string& engine, const std::string& attempt);
  /// Whether the run began after another one had ended.
  static bool follows(const EngineLoss& loss, const EngineLoss& before);
  /// Drops the first loss that overlaps the one before it, else the first.
  void drop_one();
  /// Whether a later run with the same headers brought a whole response.
  bool is_cleared(const EngineLoss& loss) const;
  bool have_several_headers() const;
  LossCount count_if(const Judge& judge, const Filter& counts) const;
  /// Distinct engines in the longest sequence of losses that follow one another.
  int engines_in_sequence(const Filter& counts) const;

  std::vector<EngineLoss> losses_;  ///< by end
  std::map<std::string, net::TimePoint> succeeded_at_;
  std::size_t version_ = 0;
};

}  // namespace sailgate::balancing

#include "admission/load_bounds.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <vector>

using sailgate::admission::may_start;

TEST_CASE("programs start while the load is below the bound", "[admission]") {
  REQUIRE(may_start(0, 0));
  REQUIRE(may_start(1.4, 9));
  REQUIRE_FALSE(may_start(2.5, 0));
}

TEST_CASE("less urgent programs are refused first", "[admission]") {
  REQUIRE(may_start(1.95, 0));
  REQUIRE_FALSE(may_start(1.95, 1));
}

namespace {

/// Outcomes of the callers of a burst.
struct BurstResults {
  int asked = 0;
  int in_time = 0;
  int refused = 0;
};

/// Simulates programs of eleven turns on 352 slots; turns that find no free slot wait in FIFO
/// order. A turn takes 100 ms; a program is in time if it finishes within 1.4 times its time on
/// idle slots plus 200 ms. Refused programs do not retry.
class BurstService {
 public:
  explicit BurstService(bool refuses) : refuses_(refuses) {}

  /// @param rate programs per second.
  void send(double rate, int seconds) {
    for (int tick = 0; tick < seconds * kTicksPerSecond; ++tick) step(rate / kTicksPerSecond);
  }
  const BurstResults& results() const { return results_; }

 private:
  static constexpr int kTicksPerSecond = 100;
  static constexpr int kSlots = 352;
  static constexpr int kTurns = 11;
  static constexpr int kTurnTicks = 10;
  static constexpr int kLatencyGoalTicks = kTurns * kTurnTicks * 14 / 10 + 20;
  static constexpr int kReportAgeTicks = 50;  ///< age of the load known to nodes

  struct Program {
    int started_at = 0;
    int turns_left = kTurns;
    int ends_at = 0;  ///< end of the current turn
  };

  void step(double arrivals) {
    ++now_;
    arrivals_ += arrivals;
    for (; arrivals_ >= 1; --arrivals_) arrive();
    std::vector<Program> running;
    for (auto& program : running_) {
      if (program.ends_at > now_) {
        running.push_back(program);
      } else if (--program.turns_left > 0) {
        waiting_.push_back(program);
      } else {
        results_.in_time += now_ - program.started_at <= kLatencyGoalTicks ? 1 : 0;
      }
    }
    running_ = std::move(running);
    while (!waiting_.empty() && running_.size() < kSlots) {
      waiting_.front().ends_at = now_ + kTurnTicks;
      running_.push_back(waiting_.front());
      waiting_.pop_front();
    }
    loads_.push_back(static_cast<double>(running_.size() + waiting_.size()) / kSlots);
    if (loads_.size() > kReportAgeTicks) loads_.pop_front();
  }

  void arrive() {
    ++results_.asked;
    const double known = loads_.empty() ? 0 : loads_.front();
    if (refuses_ && !may_start(known, 0)) {
      ++results_.refused;
    } else {
      waiting_.push_back({now_, kTurns, 0});
    }
  }

  bool refuses_;
  int now_ = 0;
  double arrivals_ = 0;
  std::vector<Program> running_;
  std::deque<Program> waiting_;
  std::deque<double> loads_;
  BurstResults results_;
};

/// A burst of three times the normal load for 6 s; the normal load uses 60 % of the slots.
BurstResults burst(bool refuses) {
  constexpr double kNormalRate = 0.6 * 352 / 1.1;
  BurstService service(refuses);
  service.send(kNormalRate, 4);
  service.send(3 * kNormalRate, 6);
  service.send(kNormalRate, 20);
  return service.results();
}

}  // namespace

TEST_CASE("refusing new programs in a burst finishes more programs in time", "[admission]") {
  const auto without_refusals = burst(false);
  const auto with_refusals = burst(true);
  const double before = static_cast<double>(without_refusals.in_time) / without_refusals.asked;
  const double after = static_cast<double>(with_refusals.in_time) / with_refusals.asked;
  CAPTURE(before, after, with_refusals.refused);
  REQUIRE(after > before + 0.1);
  // Only the programs above the capacity are refused.
  REQUIRE(with_refusals.refused < with_refusals.asked / 3);
}

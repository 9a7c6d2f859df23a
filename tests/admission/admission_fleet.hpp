/// @file Simulation of nodes that admit programs to one service, in virtual time.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "admission/program_admission.hpp"
#include "base/random.hpp"

namespace sailgate::test {

/// Callers of one kind: a tenant and a rank.
struct CallerKind {
  std::int32_t tenant = 0;
  int rank = 0;
  bool operator<(const CallerKind& other) const {
    return std::tie(tenant, rank) < std::tie(other.tenant, other.rank);
  }
};

/// Outcomes of the callers of a kind.
struct CallerResults {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;  ///< refused on the retry as well
  double share_in_time() const { return asked == 0 ? 1 : double(in_time) / asked; }
};

/// kFairShare: fair sharing with scheduled retries. kLoadBoundOnly: one load bound per rank with
/// random retry delays.
enum class Policy { kFairShare, kLoadBoundOnly };

/// Programs have eleven turns of 100 ms; turns that find no free slot wait in FIFO order. A program
/// is in time if it finishes within 1.4 times its time on idle slots plus 200 ms. Refused callers
/// retry once, on a random node, after the delay they were given.
class AdmissionFleet {
 public:
  static constexpr int kSlots = 352;
  /// Programs per second that use 60 % of the slots.
  static constexpr double kNormalRate = 0.6 * kSlots / 1.1;

  AdmissionFleet(Policy policy, net::Millis report_age, std::uint64_t seed);

  /// Programs per second, by kind.
  using Rates = std::map<CallerKind, double>;
  void send(const Rates& rates, net::Millis time);
  /// Lets this number of callers arrive at the same moment.
  void send_at_once(const CallerKind& kind, int callers);
  void set_slots(int slots) { slots_ = slots; }

  CallerResults results(const CallerKind& kind) const;
  CallerResults total_results() const;
  /// Highest number of running and waiting requests per slot since the start.
  double highest_load() const { return highest_load_; }
  /// Callers that were refused while there were fewer requests than slots.
  int refused_with_free_slots() const { return refused_with_free_slots_; }

 private:
  static constexpr net::Millis kTick{10};
  static constexpr int kNodes = 12;
  static constexpr int kTurns = 11;
  static constexpr net::Millis kTurn{100};
  static constexpr net::Millis kLatencyGoal = kTurns * kTurn * 14 / 10 + net::Millis(200);
  static constexpr net::Millis kDeadline{3000};

  struct Program {
    CallerKind kind;
    net::TimePoint arrived_at{};
    bool retried = false;
    std::size_t node = 0;  ///< node that serves it
    int turns_left = kTurns;
    net::TimePoint ends_at{};  ///< end of the current turn
  };
  /// Reports of all nodes at one time; they arrive `report_age_` late.
  struct FleetReport {
    net::TimePoint at;
    std::vector<int> requests;                             ///< by node
    std::vector<admission::ProgramStartsByTenant> starts;  ///< by node
  };

  void step();
  void end_turns();
  void fill_slots();
  void exchange_reports();
  void request_start(Program program);
  void refuse(Program program, net::Millis wait);
  /// Requests known to a node: its own and those reported by the others.
  int known_requests(std::size_t node) const;
  /// @return retry delay; nullopt: the program is admitted.
  std::optional<net::Millis> refusal_delay(std::size_t node, const Program& program);
  int requests() const { return static_cast<int>(running_.size() + waiting_.size()); }

  Policy policy_;
  net::Millis report_age_;
  base::Random random_;
  std::vector<admission::ProgramAdmission> nodes_;
  net::TimePoint now_ = net::TimePoint{} + std::chrono::hours(1);
  int slots_ = kSlots;
  std::vector<int> node_requests_;               ///< running or waiting, by node
  std::map<CallerKind, double> pending_starts_;  ///< fractions of programs
  std::vector<Program> running_;
  std::deque<Program> waiting_;
  std::multimap<net::TimePoint, Program> retries_;
  std::deque<FleetReport> reports_;
  std::map<CallerKind, CallerResults> results_;
  double highest_load_ = 0;
  int refused_with_free_slots_ = 0;
};

}  // namespace sailgate::test

#include "demo.hpp"

#include <chrono>
#include <iostream>
#include <thread>

#include "cli/command_line.hpp"
#include "local_deployment.hpp"
#include "program_client.hpp"

namespace sailgate::bench {
namespace {

constexpr int kStartTimeout = 60'000;
constexpr int kStopTimeout = 70'000;
constexpr std::int64_t kBudget = 2000;
constexpr std::int64_t kTokens = 64;
constexpr std::int64_t kPauseMillis = 200;

/// Runs the demo's programs and keeps count of what went wrong.
class Demo {
 public:
  Demo(LocalDeployment& deployment, std::string tenant)
      : deployment_(deployment), client_(deployment.client(), std::move(tenant)) {}

  std::string open(const std::string& key, const std::string& kind,
                   const std::string& parent = "") {
    const auto budget = parent.empty() ? kBudget : kBudget / 4;
    const auto answer = client_.open(node(), key, kind, budget, parent);
    report("open " + kind, answer, answer.status == 201);
    return answer.program;
  }

  void call(const std::string& what, const std::string& program, std::int32_t sequence,
            const web::json::value& target, bool repeatable, bool stream) {
    CallDescription description;
    description.sequence = sequence;
    description.key = program + "-" + std::to_string(sequence);
    description.repeatable = repeatable;
    description.stream = stream;
    description.target = target;
    const auto answer = client_.call(node(), program, description);
    report(what, answer, answer.answered && answer.status == 200 && answer.kind.empty());
  }

  void pause(const std::string& program) {
    const auto answer = client_.pause(node(), program, kPauseMillis);
    report("tool pause reported", answer, answer.status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMillis));
  }

  void look_up(const std::string& program, std::int32_t sequence) {
    const auto answer = client_.look_up(node(), program, program + "-" + std::to_string(sequence));
    report("look-up of call " + std::to_string(sequence), answer, answer.status == 200);
  }

  void finish(const std::string& program, std::size_t turns) {
    const auto view = client_.read(node(), program);
    const bool whole = view.status == 200 && view.body.at("history").as_array().size() == turns;
    report("history holds " + std::to_string(turns) + " turns", view, whole);
    const auto answer = client_.end(node(), program);
    report("end", answer, answer.status == 200);
  }

  bool good() const { return good_; }

 private:
  /// Each request goes to another node: any node serves any program.
  std::string node() { return deployment_.node_address(next_node_++ % deployment_.node_count()); }

  void report(const std::string& what, const CallerAnswer& answer, bool success) {
    std::cout << "  " << (success ? "ok  " : "FAIL") << " " << what << ": status " << answer.status
              << ", " << static_cast<int>(answer.total_ms) << " ms";
    if (answer.pieces > 0) std::cout << ", " << answer.pieces << " pieces streamed";
    if (!answer.kind.empty()) std::cout << ", " << answer.kind << " (" << answer.ran << ")";
    if (!answer.result.empty()) std::cout << ", \"" << answer.result.substr(0, 48) << "\"";
    std::cout << std::endl;
    good_ = good_ && success;
  }

  LocalDeployment& deployment_;
  ProgramClient client_;
  std::size_t next_node_ = 0;
  bool good_ = true;
};

bool season_plan(LocalDeployment& deployment) {
  std::cout << "federation: a season plan\n";
  Demo demo(deployment, "federation");
  const auto plan = demo.open("season-2027", "season-plan");
  demo.call("propose dates", plan, 1, engine_target("Plan the season of the choir", kTokens), true,
            true);
  demo.call("read the calendar", plan, 2, tool_target("calendar"), true, false);
  demo.pause(plan);
  const auto search = demo.open("organist", "search", plan);
  demo.call("sub-program finds an organist", search, 1, engine_target("Find an organist", kTokens),
            true, true);
  demo.finish(search, 1);
  demo.call("book the hall", plan, 3, application_target("book"), false, false);
  demo.finish(plan, 3);
  return demo.good();
}

bool refill(LocalDeployment& deployment) {
  std::cout << "pharmacy: a refill\n";
  Demo demo(deployment, "pharmacy");
  const auto renewal = demo.open("refill-1", "patient-renewal");
  demo.call("talk to the patient", renewal, 1, engine_target("I need my refill", kTokens), true,
            true);
  const auto check = demo.open("check-1", "prescriber-check", renewal);
  demo.call("prescriber check", check, 1, engine_target("Confirm the renewal", kTokens), true,
            false);
  demo.finish(check, 1);
  demo.call("order the refill", renewal, 2, application_target("order"), false, false);
  demo.look_up(renewal, 2);
  demo.finish(renewal, 2);
  return demo.good();
}

}  // namespace

int run_demo(const std::string& programs, const std::string& work) {
  LocalDeployment deployment({}, programs, work);
  std::cout << "starting 3 zones with 2 nodes each, and the stand-ins\n";
  if (!deployment.start(kStartTimeout)) {
    std::cout << "demo: failed, not all nodes serve; logs in " << work << "\n";
    return cli::kFailure;
  }
  bool good = season_plan(deployment);
  good = refill(deployment) && good;
  std::cout << "stopping\n";
  const bool clean = deployment.stop(kStopTimeout);
  if (!clean) std::cout << "  FAIL a node did not exit with 0\n";
  good = good && clean;
  std::cout << (good ? "demo: ok" : "demo: failed, logs in " + work) << std::endl;
  return good ? cli::kSuccess : cli::kFailure;
}

}  // namespace sailgate::bench

#include "soak/soak_checker.hpp"

#include <algorithm>

namespace sailgate::soak {

namespace {

/// Engines that may end under one request.
constexpr int kMostEngineEnds = 3;

/// Statuses that promise that the request has not run and never will.
bool promises_not_run(int status) {
  return status == 402 || status == 404 || status == 408 || status == 421 || status == 429 ||
         status == 503;
}

}  // namespace

void SoakChecker::violation(const std::string& rule, const std::string& what) {
  violations_.push_back(rule + ": " + what);
}

void SoakChecker::limit_tenant(const std::string& tenant, net::Millis window, double most) {
  limits_[tenant] = {window, most, {}, false};
}

void SoakChecker::request_sent(const std::string& id, const std::string& tenant,
                               const std::string& program, const std::string& previous,
                               const std::string& input, bool at_most_once) {
  sent_[id] = {tenant, program, previous, input, at_most_once, net::Clock::now()};
}

void SoakChecker::check_limit(const Sent& sent, net::TimePoint now) {
  const auto limit = limits_.find(sent.tenant);
  if (limit == limits_.end()) return;
  auto& [window, most, runs, exceeded] = limit->second;
  runs.push_back({sent.at, now});
  int inside = 0;
  for (auto run = runs.rbegin(); run != runs.rend() && now - run->began_at < window; ++run) {
    inside += now - run->sent_at < window ? 1 : 0;
  }
  if (inside <= most || exceeded) return;
  exceeded = true;
  violation("QUOTA", sent.tenant + " had " + std::to_string(inside) + " requests run in a window");
}

std::string SoakChecker::prompt(const Sent& sent) const {
  std::string text = sent.input;
  std::string previous = sent.previous;
  while (!previous.empty()) {
    const auto& turn = turns_.at(previous);
    text = turn.input + turn.output + text;
    previous = turn.previous;
  }
  return text;
}

void SoakChecker::turn_answered(const std::string& id, const std::string& output) {
  const auto& sent = sent_.at(id);
  turns_[id] = {sent.previous, sent.input, output};
  if (runs_.count(id) == 0) violation("MIXED", id + " was answered and never run");
}

void SoakChecker::tokens_handed(const std::string& tenant, const std::string& program,
                                std::int64_t tokens, std::int64_t budget,
                                std::int64_t most_of_one_turn) {
  auto& sum = tokens_[tenant + "/" + program];
  sum += tokens;
  if (sum > budget + most_of_one_turn) {
    violation("BUDGET", program + " was handed " + std::to_string(sum) + " of " +
                            std::to_string(budget) + " tokens");
  }
}

void SoakChecker::configuration_probed(const std::string& process, int version, bool has_route) {
  auto& newest = configurations_[process];
  if (has_route) {
    newest = std::max(newest, version);
  } else if (version <= newest) {
    violation("CONFIG", process + " has gone back behind version " + std::to_string(version));
  }
}

void SoakChecker::configuration_late(const std::string& process, int version) {
  violation("CONFIG", process + " does not go by version " + std::to_string(version));
}

void SoakChecker::stream_event(const std::string& stream, int number, const std::string& version) {
  auto& seen = streams_[stream];
  if (number != ++seen.events) {
    violation("ORDER", stream + " has event " + std::to_string(number) + " in place " +
                           std::to_string(seen.events));
  }
  if (seen.version.empty()) seen.version = version;
  if (version != seen.version) {
    violation("ORDER", stream + " holds events of " + seen.version + " and " + version);
  }
}

void SoakChecker::refused(const std::string& id, int status) {
  ++refusals_[status];
  const auto& sent = sent_.at(id);
  if (status == 404) {
    violation("LOST", id + " was told that turn " + sent.previous + " does not exist");
  }
  if (!promises_not_run(status)) return;
  promised_not_run_.insert(id);
  if (runs_.count(id) > 0) {
    violation("REFUSED", id + " was answered " + std::to_string(status) + " and has run");
  }
}

void SoakChecker::engine_ended_under(const std::string& body) {
  const int ended = ++engines_ended_[body];
  if (ended <= kMostEngineEnds) return;
  violation("BUDGET", "'" + body + "' reached an engine after " + std::to_string(ended - 1) +
                          " had ended under it");
}

void SoakChecker::quarantined(const std::string& body) {
  const int ended = engines_ended_[body];
  if (ended >= kMostEngineEnds) return;
  violation("DENIED", "'" + body + "' was refused, though only " + std::to_string(ended) +
                          " engines ended under it");
}

void SoakChecker::mixed(const std::string& id, const std::string& what) {
  violation("MIXED", id + ": " + what);
}

void SoakChecker::not_finished(const std::string& program, const std::string& why) {
  violation("RECOVER", program + " did not finish: " + why);
}

void SoakChecker::dropped(const std::string& id, const std::string& what) {
  violation("LOST", id + ": " + what);
}

void SoakChecker::sent_to_drained(const std::string& engine) {
  violation("DRAIN", engine + " got requests long after it said that it drains");
}

void SoakChecker::run_began(const SeenRequest& seen, net::TimePoint now) {
  const auto& id = seen.id;
  const auto sent = sent_.find(id);
  if (sent == sent_.end()) {
    violation("UNASKED", "an engine runs " + id + ", which nobody sent");
    return;
  }
  if (seen.tenant != sent->second.tenant) {
    violation("UNASKED", "an engine runs " + id + " for tenant '" + seen.tenant + "'");
  }
  if (seen.has_key) violation("UNASKED", "the key of " + id + " reached an engine");
  if (seen.body != prompt(sent->second)) {
    violation("UNASKED", "an engine runs " + id + " with another body");
  }
  const int runs = ++runs_[id];
  // A stream that goes on at another engine is still one request.
  if (runs == 1) check_limit(sent->second, now);
  if (sent->second.at_most_once && runs > 1) violation("TWICE", id + " runs again");
  if (promised_not_run_.count(id) > 0) {
    violation("REFUSED", id + " runs after it was promised that it does not");
  }
}

}  // namespace sailgate::soak

/// @file What callers were told and what engines did, checked against the rules of the platform.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::soak {

/// A turn that its caller saw whole.
struct WholeTurn {
  std::string previous;
  std::string input;
  std::string output;  ///< data of each event, each followed by a line feed
};

/// Whose request a caller sends, and how many of them may run.
struct SoakTenant {
  std::string name;
  std::string key;
  double rate_per_s = 0;
  double burst = 0;
};

/// What an engine saw of a request.
struct SeenRequest {
  std::string id;
  std::string body;
  std::string tenant;    ///< as the system named it; empty: not at all
  bool has_key = false;  ///< the caller's key reached the engine
};

/// Single-threaded: everything runs on the soak's event loop.
class SoakChecker {
 public:
  /// Counts the tenant's runs from now on. @param most that may run of what is sent in any window.
  void limit_tenant(const std::string& tenant, net::Millis window, double most);

  // Callers.
  /// A request is about to be sent. @param previous turn it goes on from; empty: none.
  void request_sent(const std::string& id, const std::string& tenant, const std::string& program,
                    const std::string& previous, const std::string& input, bool at_most_once);
  void turn_answered(const std::string& id, const std::string& output);
  /// Tokens that reached the caller, also of answers that broke off.
  void tokens_handed(const std::string& tenant, const std::string& program, std::int64_t tokens,
                     std::int64_t budget, std::int64_t most_of_one_turn);
  /// An event of a resumable stream reached its caller. @param stream attempt that brought the
  /// first event.
  void stream_event(const std::string& stream, int number, const std::string& version);
  /// A process answered by a configuration with or without the route that this version added.
  /// @param process unique to each start of a node.
  void configuration_probed(const std::string& process, int version, bool has_route);
  /// A process does not go by a version although its deadline has passed.
  void configuration_late(const std::string& process, int version);
  /// An answer other than a success.
  void refused(const std::string& id, int status);
  /// A success or part of one carried something of another request.
  void mixed(const std::string& id, const std::string& what);
  void not_finished(const std::string& program, const std::string& why);
  /// A request was passed on to an engine and its caller got no whole response.
  void dropped(const std::string& id, const std::string& what);
  /// An engine got a request later than it may while it drains.
  void sent_to_drained(const std::string& engine);

  // Engines.
  /// The process of an engine ends while it is at work on a request. @param body names the request
  /// over all its attempts.
  void engine_ended_under(const std::string& body);
  /// An attempt of the request was refused because engines ended under it.
  void quarantined(const std::string& body);
  /// An engine begins to work on a request.
  void run_began(const SeenRequest& seen, net::TimePoint now);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t turns() const { return turns_.size(); }
  std::size_t runs() const { return runs_.size(); }
  const std::map<int, int>& refusals() const { return refusals_; }

 private:
  /// What its caller has of a resumable stream.
  struct SeenStream {
    std::string version;
    int events = 0;
  };
  struct Sent {
    std::string tenant;
    std::string program;
    std::string previous;
    std::string input;
    bool at_most_once = false;
    net::TimePoint at{};
  };
  /// A run of a limited tenant: when its request was sent and when it reached the engine.
  struct LimitedRun {
    net::TimePoint sent_at;
    net::TimePoint began_at;
  };
  struct TenantLimit {
    net::Millis window{0};
    double most = 0;
    std::vector<LimitedRun> runs;
    bool exceeded = false;
  };

  void check_limit(const Sent& sent, net::TimePoint now);

  void violation(const std::string& rule, const std::string& what);
  std::string prompt(const Sent& sent) const;

  std::map<std::string, Sent> sent_;
  std::map<std::string, WholeTurn> turns_;
  std::map<std::string, int> runs_;
  std::set<std::string> promised_not_run_;
  std::map<std::string, std::int64_t> tokens_;
  std::map<std::string, TenantLimit> limits_;
  std::map<std::string, SeenStream> streams_;
  std::map<std::string, int> configurations_;  ///< newest that each process has shown to go by
  std::map<std::string, int> engines_ended_;   ///< by request
  std::map<int, int> refusals_;
  std::vector<std::string> violations_;
};

}  // namespace sailgate::soak

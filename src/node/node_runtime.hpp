/// @file One node of the product's own interface: decides program requests on the rows of the table
/// store, follows the configuration, does what is due.
///
/// Lock order: mutex_ guards back ends, configuration, random source and running attempts; nothing
/// blocks while it is held, and of other modules only the log's lock is taken under it.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "backend/backend_client.hpp"
#include "backend/machine_list.hpp"
#include "base/random.hpp"
#include "configuration/configuration_holder.hpp"
#include "http/worker_pool.hpp"
#include "node/family_store.hpp"
#include "node/node_settings.hpp"
#include "observe/shared_log.hpp"
#include "scheduling/backend_choice.hpp"

namespace sailgate::node {

/// Counts for the status and metrics pages.
struct NodeStatus {
  std::int64_t process_id = 0;
  std::size_t families_cached = 0;
  std::size_t attempts_running = 0;
  std::int64_t generation = 0;
  bool configuration_live = false;
  bool stopping = false;
};

/// Thread-safe.
class NodeRuntime {
 public:
  struct Services {
    store::BlockingStore& store;
    backend::MachineList* machines;  ///< may be absent
    backend::BackendClient& backends;
    observe::SharedLog& log;
  };

  NodeRuntime(const NodeSettings& settings, Services services);
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;
  ~NodeRuntime();

  /// Decides a program request. @return an unset reply when nobody could tell in time.
  wire::ProgramReply execute(const wire::ProgramRequest& request, base::Millis patience);
  /// Puts a bundle in force; returns when no node serves under an older configuration any more.
  wire::ProgramReply roll(const wire::SignedBundle& signed_bundle, base::Millis patience);

  /// Whether this node may serve under its configuration now.
  bool configuration_live() const;
  wire::Configuration configuration() const;
  /// Whether the configuration in force lets this tenant in with this bearer token.
  bool admits(const std::string& tenant, const std::string& token) const;
  /// What a tenant's programs of a kind may do; nothing when the bundles in force do not list it.
  /// Without any bundle in force everything is allowed.
  std::optional<wire::ProgramRule> program_rule(const std::string& tenant,
                                                const std::string& kind) const;
  /// A back end refused because it is leaving.
  void report_leaving(const std::string& backend);
  /// Whether this node knows that a back end is leaving.
  bool backend_is_leaving(const std::string& backend) const;

  /// This process begins and ends to run an attempt.
  void attempt_started(std::int64_t attempt, const std::string& backend);
  void attempt_ended(std::int64_t attempt, const std::string& backend);
  bool runs_attempt(std::int64_t attempt) const;

  /// Begins a planned stop.
  void begin_stop();
  NodeStatus status() const;
  std::int64_t process_id() const { return process_id_; }
  /// Where other nodes ask about this process's attempts.
  std::string address() const;

 private:
  void run_timer();
  void read_configuration();
  void poll_backends();
  void sweep();
  void settle_family(const std::string& family);
  void carry_out(const std::string& family, const program::DueActions& orders);
  void check_gateway(const std::string& family, const program::GatewayCheck& check);
  void change_quietly(const std::string& family, program::FamilyUpdate::Change change);

  const NodeSettings settings_;
  Services services_;
  const std::int64_t process_id_;
  FamilyStore families_;
  scheduling::BackendChooser chooser_;
  mutable std::mutex mutex_;
  scheduling::BackendDirectory backends_;
  configuration::ConfigurationHolder configuration_;
  base::Random random_;
  std::set<std::int64_t> running_;
  bool store_answers_ = false;
  bool stopping_ = false;
  std::int32_t next_part_ = 0;
  http::WorkerPool background_;  ///< due work, load reports
  std::mutex timer_mutex_;
  std::condition_variable timer_wake_;
  bool timer_stopping_ = false;
  std::thread timer_;
};

}  // namespace sailgate::node

/// @file Runs one NodeCore on real clocks, sockets and threads.
///
/// Lock order: core_mutex_ guards the core and the ticket table and is the only lock of this class;
/// nothing blocks while it is held, and no other module's lock is taken under it. Actions of the
/// core are carried out after it is released.
#pragma once

#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "backend/backend_client.hpp"
#include "http/worker_pool.hpp"
#include "node/core/node_core.hpp"
#include "node/node_settings.hpp"
#include "platform/machine_list.hpp"
#include "platform/table_service.hpp"
#include "rpc/node_server.hpp"
#include "rpc/peer_sender.hpp"
#include "rpc/request_client.hpp"

namespace sailgate::node {

/// Counts for the metrics page.
struct NodeStatus {
  std::int64_t member_id = 0;
  std::size_t members_alive = 0;
  std::size_t slots_held = 0;
  std::size_t slots_led = 0;
  std::size_t slots_open = 0;  ///< led, and taking programs
  std::size_t slots_full = 0;  ///< led, with as many usable members as wanted, and recorded
  std::size_t programs = 0;
  std::size_t state_bytes = 0;
  std::uint64_t envelopes_sent = 0;
  std::uint64_t envelopes_dropped = 0;
  std::uint64_t envelope_bytes_sent = 0;
  bool stopping = false;
};

/// Thread-safe.
class NodeRuntime : public rpc::NodeHandler {
 public:
  struct Services {
    platform::TableService& table;
    platform::MachineList* machines;  ///< may be absent
    backend::BackendClient& backends;
  };

  NodeRuntime(const NodeSettings& settings, Services services);
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;
  ~NodeRuntime() override;

  /// Runs a program request on whatever node leads the program's slot; follows redirects.
  /// @return an unset reply when no leader could be reached in time.
  wire::ProgramReply route(const std::string& program, const wire::ProgramRequest& request,
                           base::Millis timeout);
  /// Same, for a slot; kConfigurationSlot leads to the configuration authority.
  wire::ProgramReply route_slot(std::int32_t slot, const wire::ProgramRequest& request,
                                base::Millis timeout);

  /// Whether this node may serve under its configuration now.
  bool configuration_live() const;
  wire::Configuration configuration() const;
  /// Whether the configuration in force lets this tenant in with this bearer token.
  bool admits(const std::string& tenant, const std::string& token) const;
  /// What a tenant's programs of a kind may do; nothing when the bundles in force do not list it.
  /// Without any bundle in force everything is allowed.
  std::optional<wire::ProgramRule> program_rule(const std::string& tenant,
                                                const std::string& kind) const;
  /// Tells the core at once that a back end refused because it is leaving.
  void report_leaving(const std::string& backend);
  /// Whether this node knows that a back end is leaving.
  bool backend_is_leaving(const std::string& backend) const;

  /// Begins a planned stop.
  void begin_stop();
  /// Whether no group lists this node any more.
  bool released() const;
  /// Whether some node is there to take replicas over.
  bool successor_known() const;
  NodeStatus status() const;
  std::int64_t member_id() const { return member_id_; }
  static base::Millis now();

  // rpc::NodeHandler
  void deliver(const wire::Envelope& envelope) override;
  wire::ProgramReply execute(std::int32_t slot, const wire::ProgramRequest& request) override;
  wire::Member identify() override;

 private:
  using Step = std::function<void(NodeCore&, base::Millis)>;

  /// Runs `step` on the core under the lock, then carries out its actions.
  void run(const Step& step);
  void carry_out(NodeActions actions);
  void run_timer();
  void poll_backends();
  wire::ProgramReply execute_here(std::int32_t slot, const wire::ProgramRequest& request,
                                  base::Millis timeout);

  const NodeSettings settings_;
  Services services_;
  const std::int64_t member_id_;
  mutable std::mutex core_mutex_;
  std::unique_ptr<NodeCore> core_;
  Ticket next_ticket_ = 1;
  std::map<Ticket, std::promise<wire::ProgramReply>> tickets_;
  rpc::PeerSender peers_;
  rpc::RequestClient requests_;
  http::WorkerPool background_;  ///< table service, evictions, inquiries, load reports
  std::mutex timer_mutex_;
  std::condition_variable timer_wake_;
  bool timer_stopping_ = false;
  std::thread timer_;
  std::unique_ptr<rpc::NodeServer> server_;
};

}  // namespace sailgate::node

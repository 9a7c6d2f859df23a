/// @file State of a node that its requests and background tasks share.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_set>

#include "admission/program_admission.hpp"
#include "balancing/engine_failures.hpp"
#include "balancing/engine_registry.hpp"
#include "balancing/engines_in_use.hpp"
#include "balancing/exchange_times.hpp"
#include "balancing/prompt_placement.hpp"
#include "base/random.hpp"
#include "cluster/beacon_sender.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/request_losses.hpp"
#include "cluster/store_relay.hpp"
#include "cluster/stream_origins.hpp"
#include "cluster/tenant_quotas.hpp"
#include "cluster/turn_coordinator.hpp"
#include "cluster/turn_progress.hpp"
#include "ledger/expiry_sweeper.hpp"
#include "ledger/program_ledger.hpp"
#include "observe/structured_log.hpp"
#include "readiness/readiness_tracker.hpp"
#include "routing/route_table.hpp"
#include "serving/caller_patience.hpp"
#include "serving/edge_protocol.hpp"
#include "serving/engine_connection_pool.hpp"
#include "serving/gateway_metrics.hpp"
#include "serving/held_turns.hpp"
#include "serving/node_settings.hpp"
#include "serving/response_memory.hpp"
#include "serving/route_durations.hpp"
#include "serving/shutdown_schedule.hpp"
#include "serving/turn_times.hpp"
#include "store/metered_store.hpp"

namespace sailgate::serving {

struct Call;

/// Owned by the gateway. Not thread-safe: use only on the event loop.
struct NodeState {
  NodeState(net::asio::io_context& loop, NodeSettings node_settings,
            const EdgeProtocol& edge_protocol, store::TableStore& table_store,
            observe::StructuredLog& structured_log, std::int64_t incarnation)
      : context(loop),
        settings(std::move(node_settings)),
        protocol(edge_protocol),
        log(structured_log),
        connections(loop),
        peers(settings.node, settings.zone),
        quotas(peers, settings.quota_bounds, started_at, static_cast<std::uint64_t>(incarnation)),
        peer_clients(loop),
        metered_store(table_store, structured_log),
        store(loop, metered_store, peers, peer_clients, structured_log,
              static_cast<std::uint64_t>(incarnation)),
        ledger(loop, store, store.clock(), structured_log, incarnation),
        beacons(
            loop, settings.peers, peers, [this, incarnation] { return beacon(incarnation); },
            static_cast<std::uint64_t>(incarnation)),
        turns(loop, ledger, peers, peer_clients, beacons, store, settings.mechanisms,
              structured_log, static_cast<std::uint64_t>(incarnation)),
        stream_origins(loop, peers, peer_clients, beacons,
                       [this](const std::string& service) { return lasting_version(service); }),
        turn_progress(loop, peers, peer_clients, beacons),
        request_losses(
            loop, peers, peer_clients, beacons, store, structured_log,
            static_cast<std::uint64_t>(incarnation),
            [this](const balancing::EngineLoss& loss) {
              return balancing::judge(loss, engines, net::Clock::now());
            },
            [this](const balancing::EngineLoss& loss) {
              balancing::note_silence(loss, engines, net::Clock::now());
            }),
        sweeper(
            loop, store, store.clock(), structured_log, [this] { return peers.peers().size() + 1; },
            [this] { return store.full(); }, static_cast<std::uint64_t>(incarnation)),
        random(static_cast<std::uint64_t>(incarnation)),
        admission(random.fraction()) {
    metered_store.set_meter(
        {[this](store::StoreCall call, store::StoreStatus status) {
           metrics.store_call_ended(call, status);
         },
         [this](const store::RowsChanged& changed) { metrics.rows_changed(changed); }});
    store.set_relaying(settings.mechanisms.relay);
    store.set_overlapping(settings.mechanisms.holding);
    ledger.turns.set_overlapping(settings.mechanisms.holding);
    peers.set_incarnation(incarnation);
    beacons.set_usage_window(settings.quota_bounds.window);
    beacons.set_needs_all_beacons([this] { return limits_tenants(); });
    beacons.set_urgent_check([this] { return quotas.report_due(); });
  }

  /// Builds the message that this node sends to its peers periodically.
  wire::Beacon beacon(std::int64_t incarnation) {
    const auto now = net::Clock::now();
    wire::Beacon message;
    message.incarnation = incarnation;
    message.reaches_store = store.direct_works();
    message.store_version = newest_store_version;
    if (const auto version = newest_configuration_version(); version > 0) {
      message.__set_configuration_version(version);
    }
    message.escrow_shards = ledger.escrow.spendable_shards();
    message.bare_shards = ledger.escrow.bare_shards();
    for (const auto& [engine, last_used] : engines_in_use.all()) {
      if (!engines.lists(*engine)) continue;
      if (engine->in_flight > 0) message.loads[engine->key] = engine->in_flight;
      if (balancing::failed_lately(*engine, now)) {
        message.failures[engine->key] = engine->consecutive_failures;
      }
    }
    message.__isset.failures = !message.failures.empty();
    if (settings.mechanisms.speeds) add_engine_speeds(message, now);
    const auto tenants = quotas.told(now);
    if (!tenants.empty()) message.__set_tenants(tenants);
    const auto prompts = prompt_demand.told(now);
    if (!prompts.empty()) message.__set_prompts(prompts);
    const auto begun = admission.told(now);
    if (!begun.empty()) message.__set_begun(begun);
    if (readiness.steps_aside()) message.__set_steps_aside(true);
    message.__set_sent_ms(std::chrono::duration_cast<net::Millis>(now.time_since_epoch()).count());
    const auto uptime = std::chrono::duration_cast<net::Millis>(now - started_at);
    if (uptime < kMaxReportedUptime)
      message.__set_uptime_ms(static_cast<std::int32_t>(uptime.count()));
    const auto silent = peers.silent_processes_to_relay(
        now, beacons.silence_limit(), settings.quota_bounds.window, silent_relay_offset++);
    if (!silent.empty()) message.__set_silent(silent);
    return message;
  }

  /// Whether it is known which requests no engine may get.
  bool quarantines_known() const {
    return !settings.mechanisms.quarantine || request_losses.caught_up();
  }

  /// Version of the configuration in force on this node; 0 before the first one.
  std::int64_t configuration_version() const { return routes == nullptr ? 0 : routes->version(); }
  /// Newest version of the configuration that this node or a peer knows of.
  std::int64_t newest_configuration_version() const {
    return std::max(configuration_version(), peers.newest_configuration_version());
  }

  /// Whether the configuration limits the requests of any tenant.
  bool limits_tenants() const {
    if (routes == nullptr) return false;
    const auto& tenants = routes->configuration().tenants;
    return std::any_of(tenants.begin(), tenants.end(),
                       [](const auto& tenant) { return tenant.limit.limited(); });
  }

  /// The only software version that engines of the service have had for as long as streams can be
  /// resumed; nullopt if there were several, or if this node has not seen all of that time.
  std::optional<std::string> lasting_version(const std::string& service) const {
    const auto since = net::Clock::now() - cluster::StreamOrigins::kRetention;
    if (!engines.observed_all_since(since)) return std::nullopt;
    return engines.sole_software_version(service, since);
  }

  /// Detects that this process was stalled. Must be called about every 0.1 s, and before deciding
  /// which peers are lost.
  void detect_stall(net::TimePoint now) {
    if (stalls.stalled(now, kMaxMaintenanceGap)) {
      const auto since = stalls.ticked_at();
      peers.note_stall(since, now, beacons.silence_limit());
      engines.restart_observation(now);
      if (settings.mechanisms.quarantine) {
        net::asio::co_spawn(context, request_losses.catch_up(), net::asio::detached);
      }
      log.event("stood_still")
          .with("for_ms", std::chrono::duration_cast<net::Millis>(now - since).count());
    }
    stalls.tick(now, kMaxMaintenanceGap);
  }

  /// Adds the measured speeds of the engines that this node used recently.
  void add_engine_speeds(wire::Beacon& message, net::TimePoint now) const {
    for (const auto& [engine, last_used] : engines_in_use.all()) {
      const auto figure = engine->own_speed.figure(now);
      if (figure.samples == 0 || !engines.lists(*engine)) continue;
      auto& told = message.speeds[engine->key];
      told.permille = figure.permille;
      told.samples = figure.samples;
    }
    message.__isset.speeds = !message.speeds.empty();
  }

  /// Uptimes of this length or more are not sent to peers: the data that the process lost by its
  /// restart has left every window by then.
  static constexpr net::Millis kMaxReportedUptime{60'000};

  /// Maintenance runs every 0.1 s; a longer gap than this means that the process was stalled.
  static constexpr net::Millis kMaxMaintenanceGap{600};

  net::asio::io_context& context;
  NodeSettings settings;
  const EdgeProtocol& protocol;
  observe::StructuredLog& log;
  std::shared_ptr<const routing::RouteTable> routes;  ///< nullptr before the first configuration
  balancing::EngineRegistry engines;
  balancing::EnginesInUse engines_in_use;
  bool engines_known = false;  ///< the list of engines was read
  balancing::ExchangeTimes exchange_times;
  balancing::PromptDemand prompt_demand;
  std::map<std::string, balancing::PromptPlacement> prompt_placements;  ///< by service
  std::int64_t newest_store_version = 0;  ///< highest version seen by this node or a peer
  EngineConnectionPool connections;
  std::shared_ptr<ResponseMemory> response_memory =
      std::make_shared<ResponseMemory>(settings.max_response_memory);
  net::TimePoint started_at = net::Clock::now();
  cluster::StallDetector stalls{started_at};
  cluster::PeerDirectory peers;
  cluster::TenantQuotas quotas;
  cluster::PeerClients peer_clients;
  store::MeteredStore metered_store;  ///< direct calls, including those made for peers
  cluster::StoreRelay store;          ///< the table store, through a peer if necessary
  ledger::ProgramLedger ledger;
  cluster::BeaconSender beacons;
  cluster::TurnCoordinator turns;
  cluster::StreamOrigins stream_origins;
  cluster::TurnProgressLog turn_progress;
  cluster::RequestLosses request_losses;
  ledger::ExpirySweeper sweeper;
  readiness::ReadinessTracker readiness;  ///< always ready if the mechanism is off
  GatewayMetrics metrics;
  base::Random random;
  std::size_t silent_relay_offset = 0;  ///< of the silent processes in the next beacon
  admission::ProgramAdmission admission;
  HeldTurns held_turns;
  CallerWaitEstimator caller_wait_estimator;
  TurnDurationEstimator turn_times;         ///< total times of turns at engines
  TurnDurationEstimator first_event_times;  ///< times to the first event of turns
  RouteDurations route_durations;
  ShutdownSchedule shutdown;
  int active_requests = 0;
  std::unordered_set<Call*> calls_in_progress;  ///< that may be sent to engines
};

}  // namespace sailgate::serving

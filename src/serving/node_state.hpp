/// @file What all requests of a node share.
#pragma once

#include <memory>
#include <string>

#include "balancing/engine_registry.hpp"
#include "base/random.hpp"
#include "ledger/program_ledger.hpp"
#include "observe/structured_log.hpp"
#include "routing/route_table.hpp"
#include "serving/edge_protocol.hpp"
#include "serving/engine_connection_pool.hpp"
#include "serving/gateway_metrics.hpp"
#include "serving/node_settings.hpp"

namespace sailgate::serving {

/// Owned by the gateway; lives as long as the event loop.
struct NodeState {
  NodeState(net::asio::io_context& loop, NodeSettings node_settings,
            const EdgeProtocol& edge_protocol, store::TableStore& table_store,
            observe::StructuredLog& structured_log, std::int64_t incarnation)
      : context(loop),
        settings(std::move(node_settings)),
        protocol(edge_protocol),
        log(structured_log),
        connections(loop),
        ledger(loop, table_store, structured_log, incarnation),
        random(static_cast<std::uint64_t>(incarnation)) {}

  net::asio::io_context& context;
  NodeSettings settings;
  const EdgeProtocol& protocol;
  observe::StructuredLog& log;
  std::shared_ptr<const routing::RouteTable> routes;  ///< nullptr before the first configuration
  balancing::EngineRegistry engines;
  bool engines_known = false;
  EngineConnectionPool connections;
  ledger::ProgramLedger ledger;
  GatewayMetrics metrics;
  base::Random random;
  bool stopping = false;
  int active_requests = 0;
};

}  // namespace sailgate::serving

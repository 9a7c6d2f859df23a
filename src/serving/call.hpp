/// @file State of one caller request while it is being served.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "quota/admission.hpp"
#include "routing/route_table.hpp"
#include "serving/attempt_bound.hpp"
#include "serving/client_channel.hpp"
#include "serving/edge_protocol.hpp"
#include "serving/engine_exchange.hpp"
#include "tenancy/state_key.hpp"

namespace sailgate::serving {

/// Owned by the coroutine that serves the request.
struct Call {
  Call(ClientChannel& caller, net::TextRequest caller_request)
      : channel(caller), request(std::move(caller_request)) {}

  ClientChannel& channel;
  net::TextRequest request;
  CallDescription description;
  std::shared_ptr<const routing::RouteTable> routes;  ///< version current when the request arrived
  const routing::Route* route = nullptr;
  const tenancy::Tenant* tenant = nullptr;  ///< owned by `routes`; nullptr: anonymous request
  std::string service;
  net::TimePoint received_at;
  net::TimePoint deadline;  ///< the earlier of the caller's deadline and the route's

  /// Software version of the engine that began the stream, at which alone it may go on; nullopt:
  /// the caller has no event yet.
  std::optional<std::string> required_version;
  std::string line_engine;  ///< engine of the previous turn of the same line; empty: unknown
  std::string home;         ///< home node of the program's token budget; empty: this node
  std::vector<std::string> offered;    ///< ids of the engines to which the request was sent
  net::TimePoint admitted_at{};        ///< by the tenant's rate limit; unset if no limit applies
  quota::Admission admission;          ///< rate limit decision and the figures behind it
  AttemptBound attempts;               ///< engines that may still be running the request
  std::int64_t tokens_out = 0;         ///< generated and sent to the caller
  bool may_have_run = false;           ///< whether any engine may have run it, fully or in part
  int broken_exchanges = 0;            ///< with engines that it was sent to
  std::string fingerprint;             ///< see request_fingerprint(); empty until it is needed
  std::string header_digest;           ///< see header_digest(); empty until it is needed
  net::TimePoint settles_at{};         ///< when it is known whether engines survived the request
  EngineExchange* exchange = nullptr;  ///< in progress; aborted when the caller disconnects

  /// Empty for an anonymous request.
  std::string tenant_name() const { return tenant == nullptr ? std::string() : tenant->name; }
  /// Key of state stored under an id that the caller chose.
  tenancy::StateKey key_of(const std::string& id) const { return {tenant_name(), id}; }
  /// Scheduling priority at the engine. The tenant's priority overrides the route's.
  int priority() const {
    const bool ranked = tenant != nullptr && tenant->priority;
    return ranked ? *tenant->priority : route->priority;
  }

  net::Millis elapsed() const {
    return std::chrono::duration_cast<net::Millis>(net::Clock::now() - received_at);
  }
  /// Total time from arrival to the deadline; 0 before the deadline is known.
  net::Millis time_given() const {
    if (deadline == net::TimePoint{}) return net::Millis(0);
    return std::chrono::duration_cast<net::Millis>(deadline - received_at);
  }
  net::Millis time_left() const {
    return std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
  }
};

}  // namespace sailgate::serving

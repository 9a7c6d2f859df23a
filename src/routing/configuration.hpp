/// @file Configuration of a node: routes, services, tenants and limits on callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "net/asio.hpp"
#include "tenancy/tenant.hpp"

namespace sailgate::routing {

/// How requests of a route may be repeated.
enum class RouteKind {
  kSafe,    ///< idempotent: may run any number of times
  kUnsafe,  ///< runs at most once per attempt of the caller
  kStream,  ///< answered by an event stream; unsafe unless resumable
};

/// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  net::Millis timeout{0};         ///< maximum duration of a request
  net::Millis objective{0};       ///< latency objective; answers within it have full value
  net::Millis event_gap{0};       ///< streams: latency objective between events; 0: none
  int priority = 0;               ///< 0 is the most urgent
  int max_engines = 1;            ///< that may work on one attempt of a caller concurrently
  bool resumable = false;         ///< a stream may continue on another engine
  bool allows_anonymous = false;  ///< requests need no credentials
  bool retained = false;          ///< turns send only new input; earlier turns are stored
  net::Millis retention{0};
  std::vector<WeightedService> services;

  /// Whether a request may be sent again when it is unknown whether it has run.
  bool repeatable() const { return kind == RouteKind::kSafe; }
};

/// A service and the properties of its engines.
struct Service {
  std::string name;
  std::string health_path;   ///< answered by each engine while it works; empty: not told
  int tokens_per_event = 0;  ///< tokens per stream event; 0 for services without streams
  std::int64_t engine_memory_tokens = 0;  ///< capacity for prompts and running requests; 0: unknown
};

/// Limits on requests of callers.
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} << 10U;
  std::size_t body_bytes = std::size_t{4} << 20U;
  net::Millis header_timeout{3000};
  net::Millis idle_timeout{15000};
};

/// Complete configuration. Versions increase; a node never returns to an older one.
struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<tenancy::Tenant> tenants;  ///< if empty, requests need no credentials
  CallerLimits limits;
};

}  // namespace sailgate::routing

/// @file The configuration a node serves under: routes, services, limits on callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "net/asio.hpp"
#include "tenancy/tenant.hpp"

namespace sailgate::routing {

/// What may be repeated on a route.
enum class RouteKind {
  kSafe,    ///< may run any number of times
  kUnsafe,  ///< runs at most once for each attempt of the caller
  kStream,  ///< answered by a series of events; unsafe unless resumable
};

/// One service that takes a share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  net::Millis timeout{0};    ///< longest time a request may be held
  net::Millis objective{0};  ///< an answer within it earns its full worth
  net::Millis event_gap{0};  ///< streams: longest pause between events that is in time; 0: not told
  int priority = 0;          ///< 0 is the most urgent
  int max_engines = 1;       ///< that may work on one attempt of a caller at the same time
  bool resumable = false;    ///< a stream may go on at another engine
  bool allows_anonymous = false;  ///< requests need not say whose they are
  bool retained = false;          ///< turns bring only their new input; the system keeps the rest
  net::Millis retention{0};
  std::vector<WeightedService> services;

  /// Whether a request may be sent again after it may have run.
  bool repeatable() const { return kind == RouteKind::kSafe; }
};

/// A service and what its engines are like.
struct Service {
  std::string name;
  int tokens_per_event = 0;               ///< tokens in one event of a stream; 0 for plain services
  std::int64_t engine_memory_tokens = 0;  ///< of prompts and running requests; 0: not told
};

/// Bounds on what a caller may send.
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} << 10U;
  std::size_t body_bytes = std::size_t{4} << 20U;
  net::Millis header_timeout{3000};
  net::Millis idle_timeout{15000};
};

/// Whole configuration. Versions rise; a node never goes back to an older one.
struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<tenancy::Tenant> tenants;  ///< none: requests need not say whose they are
  CallerLimits limits;
};

}  // namespace sailgate::routing

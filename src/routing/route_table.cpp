#include "routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace sailgate::routing {

namespace {

std::string normalized_host(std::string_view host) {
  const auto colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration)), tenants_(configuration_.tenants) {
  for (const auto& route : configuration_.routes) {
    by_host_[normalized_host(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  for (const auto& service : configuration_.services) services_[service.name] = &service;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto entry = by_host_.find(normalized_host(host));
  if (entry == by_host_.end()) return nullptr;
  const auto path_without_query = path.substr(0, path.find('?'));
  for (const Route* route : entry->second) {
    if (path_without_query.substr(0, route->path_prefix.size()) == route->path_prefix) return route;
  }
  return nullptr;
}

const Service* RouteTable::service(const std::string& name) const {
  const auto entry = services_.find(name);
  return entry == services_.end() ? nullptr : entry->second;
}

const std::string& choose_service(const Route& route, double draw) {
  const double total =
      std::accumulate(route.services.begin(), route.services.end(), 0.0,
                      [](double sum, const WeightedService& part) { return sum + part.weight; });
  double remaining = draw * total;
  for (const auto& part : route.services) {
    remaining -= part.weight;
    if (remaining < 0) return part.service;
  }
  return route.services.back().service;
}

}  // namespace sailgate::routing

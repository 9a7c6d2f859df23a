#include "routing/route_table.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using routing::Configuration;
using routing::Route;
using routing::RouteTable;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services.push_back({"service", 1.0});
  return route;
}

RouteTable table() {
  Configuration configuration;
  configuration.version = 3;
  configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                          route("other", "b.example", "/x/")};
  configuration.services.push_back({"service", "", 9});
  return RouteTable(std::move(configuration));
}

}  // namespace

TEST_CASE("the route with the longest matching prefix of the host is chosen", "[routing]") {
  const auto routes = table();
  REQUIRE(routes.find("a.example", "/x/1")->name == "short");
  REQUIRE(routes.find("a.example", "/x/y/1")->name == "long");
  REQUIRE(routes.find("b.example", "/x/y/1")->name == "other");
  REQUIRE(routes.find("a.example", "/x/y")->name == "short");
}

TEST_CASE("host case, port and query are ignored in route lookup", "[routing]") {
  const auto routes = table();
  REQUIRE(routes.find("A.Example:8080", "/x/y/1")->name == "long");
  REQUIRE(routes.find("a.example", "/z?/x/") == nullptr);
  REQUIRE(routes.find("a.example", "/x?q=1") == nullptr);
}

TEST_CASE("an unknown host or path has no route", "[routing]") {
  const auto routes = table();
  REQUIRE(routes.find("c.example", "/x/1") == nullptr);
  REQUIRE(routes.find("a.example", "/") == nullptr);
  REQUIRE(routes.find("", "/x/1") == nullptr);
}

TEST_CASE("services are chosen in proportion to their weights", "[routing]") {
  auto weighted = route("weighted", "a", "/");
  weighted.services = {{"first", 90}, {"second", 10}};
  REQUIRE(routing::choose_service(weighted, 0.0) == "first");
  REQUIRE(routing::choose_service(weighted, 0.899) == "first");
  REQUIRE(routing::choose_service(weighted, 0.901) == "second");
  REQUIRE(routing::choose_service(weighted, 0.9999) == "second");
  weighted.services = {{"first", 0}, {"second", 5}};
  REQUIRE(routing::choose_service(weighted, 0.0) == "second");
}

/// @file Engines that start again under their names while entries of their runs before are written
/// late.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "soak/soak_checker.hpp"
#include "store/table_store.hpp"
#include "support/fake_engine.hpp"

namespace sailgate::soak {

/// Engines of a service of their own, and callers that keep it busy. Runs on the soak's event loop.
class LateEntries {
 public:
  /// @param node gives the address of a node to send the next request to.
  LateEntries(net::asio::io_context& context, SoakChecker& checker, store::TableStore& table,
              std::function<net::Endpoint()> node, std::uint64_t seed);

  /// Route and service for the configuration, each with a comma in front.
  static std::string route();
  static std::string service();
  /// Entries of the engines, by key.
  std::map<std::string, std::string> entries() const;

  /// Starts the callers and the restarts.
  void start();
  /// Ends the restarts, once everything else has healed, and checks that engines that drain get no
  /// more requests.
  net::asio::awaitable<void> check_drains();
  void stop() { stopping_ = true; }
  bool finished() const { return running_ == 0; }
  /// Line for people.
  std::string summary() const;

 private:
  struct Engine {
    std::unique_ptr<test::FakeEngine> process;
    std::int64_t start = 0;
    net::TimePoint last_request{};
  };

  static std::string name_of(std::size_t index) { return "restarter-" + std::to_string(index); }
  std::string entry(std::size_t index, std::int64_t start, const char* state) const;
  /// Writes an entry, or removes it if it is empty, until the store has taken that.
  net::asio::awaitable<void> write(std::size_t index, std::string value);
  net::asio::awaitable<void> pause(std::uint64_t shortest_ms, std::uint64_t spread_ms);
  net::asio::awaitable<void> restart_engines();
  net::asio::awaitable<void> restart(std::size_t index);
  net::asio::awaitable<void> run_caller();
  net::asio::awaitable<void> send();
  template <typename Task>
  void spawn(Task task);

  net::asio::io_context& context_;
  SoakChecker& checker_;
  store::TableStore& table_;
  std::function<net::Endpoint()> node_;
  base::Random random_;
  std::vector<Engine> engines_;
  int requests_ = 0;
  int served_ = 0;
  int late_writes_ = 0;
  int running_ = 0;
  bool restarting_ = true;
  bool restarts_ended_ = false;
  bool stopping_ = false;
};

}  // namespace sailgate::soak

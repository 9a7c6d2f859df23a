/// @file Requests that end the engines that run them, among harmless ones.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "soak/soak_checker.hpp"
#include "support/fake_engine.hpp"

namespace sailgate::soak {

/// Engines of a service of their own, which start again under their names some time after they
/// ended, and callers that send each request again at other nodes until it is served or they give
/// up. Runs on the soak's event loop.
class PoisonTraffic {
 public:
  using WriteRow = std::function<net::asio::awaitable<bool>(std::string key, std::string value)>;

  /// @param node gives the address of a node to send the next request to.
  /// @param write_row writes an engine's entry. @return whether the store took it.
  PoisonTraffic(net::asio::io_context& context, SoakChecker& checker,
                std::function<net::Endpoint()> node, WriteRow write_row, std::uint64_t seed);

  /// Routes and the service for the configuration, each with a comma in front.
  static std::string routes();
  static std::string service();
  /// Entries of the engines, by key.
  std::map<std::string, std::string> entries() const;

  /// Starts the callers. They end after stop().
  void start();
  void stop() { stopping_ = true; }
  bool finished() const { return callers_ == 0; }
  /// Line for people.
  std::string summary() const;

 private:
  struct Answer {
    int status = 0;
    bool whole = false;
    std::string body;
  };
  /// A request that an engine is at work on.
  struct Run {
    std::string body;
    net::TimePoint until{};
  };
  struct Engine {
    std::unique_ptr<test::FakeEngine> process;
    std::int64_t start = 0;
    std::vector<Run> runs;
  };

  static std::string name_of(std::size_t index) { return "fragile-" + std::to_string(index); }
  std::string entry(std::size_t index) const;
  test::EngineReply answer(const net::TextRequest& request, std::size_t index);
  test::EngineReply end_engine(const net::TextRequest& request, std::size_t index);
  net::asio::awaitable<void> start_again(std::size_t index, net::Millis after);
  net::asio::awaitable<void> run_caller(bool poison);
  net::asio::awaitable<void> run_request(std::string body);
  net::asio::awaitable<Answer> send(std::string path, std::string program, std::string body);

  net::asio::io_context& context_;
  SoakChecker& checker_;
  std::function<net::Endpoint()> node_;
  WriteRow write_row_;
  base::Random random_;
  std::vector<Engine> engines_;
  int requests_ = 0;
  int attempts_ = 0;
  int served_ = 0;
  int quarantined_ = 0;
  int ends_ = 0;
  int callers_ = 0;
  bool stopping_ = false;
};

}  // namespace sailgate::soak

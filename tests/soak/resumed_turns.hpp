/// @file Callers that resume broken turns on a route that is both retained and resumable.
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

/// Engines of a service of their own that often break streams off, and callers whose connections
/// break as well. A caller resumes at any node after the last event that it has, and goes on from
/// the whole turn. The checker compares what engines get with that. Runs on the soak's event loop.
class ResumedTurns {
 public:
  /// @param node gives the address of a node to send the next request to.
  ResumedTurns(net::asio::io_context& context, SoakChecker& checker,
               std::function<net::Endpoint()> node, std::uint64_t seed);

  /// Route and service for the configuration, each with a comma in front.
  static std::string route();
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
    std::vector<std::string> events;
  };

  test::EngineReply answer(const net::TextRequest& request);
  net::asio::awaitable<void> run_caller();
  /// @return id of the attempt that ended the turn; empty if it was given up.
  net::asio::awaitable<std::string> run_turn(std::string program, std::string previous);
  net::asio::awaitable<Answer> send(std::string id, std::string program, std::string previous,
                                    std::size_t after, std::string input);

  net::asio::io_context& context_;
  SoakChecker& checker_;
  std::function<net::Endpoint()> node_;
  base::Random random_;
  std::vector<std::unique_ptr<test::FakeEngine>> engines_;
  int programs_ = 0;
  int attempts_ = 0;
  int turns_ = 0;
  int resumed_ = 0;
  int refused_ = 0;
  int callers_ = 0;
  bool stopping_ = false;
};

}  // namespace sailgate::soak

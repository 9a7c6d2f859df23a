/// @file Thrift server of one node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "sailgate_types.h"

namespace sailgate::rpc {

/// What a node answers to its peers. Called on the server's threads, one per connection.
class NodeHandler {
 public:
  NodeHandler() = default;
  NodeHandler(const NodeHandler&) = delete;
  NodeHandler& operator=(const NodeHandler&) = delete;
  virtual ~NodeHandler() = default;

  virtual void deliver(const wire::Envelope& envelope) = 0;
  /// May block until the request is decided.
  virtual wire::ProgramReply execute(std::int32_t slot, const wire::ProgramRequest& request) = 0;
  virtual wire::Member identify() = 0;
};

/// Thread per connection, bounded in connections and in frame size. Starts with construction.
class NodeServer {
 public:
  /// @throws apache::thrift::TException when the address cannot be used.
  NodeServer(const std::string& host, std::int32_t port, NodeHandler& handler);
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;
  ~NodeServer();

 private:
  class Server;
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

}  // namespace sailgate::rpc

#include "rpc/node_server.hpp"

#include <glog/logging.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include "Node.h"
#include "rpc/transport_limits.hpp"

namespace sailgate::rpc {
namespace {

namespace thrift = apache::thrift;

/// Frames with the size limit of transport_limits().
class LimitedFrameFactory : public thrift::transport::TTransportFactory {
 public:
  std::shared_ptr<thrift::transport::TTransport> getTransport(
      std::shared_ptr<thrift::transport::TTransport> transport) override {
    return std::make_shared<thrift::transport::TFramedTransport>(std::move(transport),
                                                                 transport_limits());
  }
};

class Adapter : public wire::NodeIf {
 public:
  explicit Adapter(NodeHandler& handler) : handler_(handler) {}

  void deliver(const wire::Envelope& envelope) override { handler_.deliver(envelope); }
  void execute(wire::ProgramReply& reply, const std::int32_t slot,
               const wire::ProgramRequest& request) override {
    reply = handler_.execute(slot, request);
  }
  void identify(wire::Member& member) override { member = handler_.identify(); }

 private:
  NodeHandler& handler_;
};

}  // namespace

class NodeServer::Server {
 public:
  Server(const std::string& host, std::int32_t port, NodeHandler& handler) {
    auto socket = std::make_shared<thrift::transport::TServerSocket>(host, port);
    server_ = std::make_unique<thrift::server::TThreadedServer>(
        std::make_shared<wire::NodeProcessor>(std::make_shared<Adapter>(handler)), socket,
        std::make_shared<LimitedFrameFactory>(),
        std::make_shared<thrift::protocol::TCompactProtocolFactory>());
    server_->setConcurrentClientLimit(kMaximumConnections);
    // The library would log a line for each failed connection; the sender counts them instead.
    thrift::GlobalOutput.setOutputFunction([](const char*) {});
    // Binds now, so that an unusable address is an error of the constructor.
    socket->listen();
    socket->close();
  }

  void run() {
    try {
      server_->serve();
    } catch (const std::exception& error) {
      LOG(ERROR) << "node server ended: " << error.what();
    }
  }
  void stop() { server_->stop(); }

 private:
  std::unique_ptr<thrift::server::TThreadedServer> server_;
};

NodeServer::NodeServer(const std::string& host, std::int32_t port, NodeHandler& handler)
    : server_(std::make_unique<Server>(host, port, handler)), thread_([this] { server_->run(); }) {}

NodeServer::~NodeServer() {
  server_->stop();
  thread_.join();
}

}  // namespace sailgate::rpc

#include "rpc/request_client.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <utility>

#include "Node.h"
#include "rpc/transport_limits.hpp"

namespace sailgate::rpc {
namespace {

namespace thrift = apache::thrift;

constexpr std::size_t kIdlePerAddress = 64;

}  // namespace

class RequestClient::Connection {
 public:
  explicit Connection(const membership::Address& address)
      : socket_(std::make_shared<thrift::transport::TSocket>(address.host, address.port)) {
    socket_->setConnTimeout(kConnectTimeoutMillis);
    socket_->setSendTimeout(kSendTimeoutMillis);
    socket_->setNoDelay(true);
    socket_->open();
    auto framed =
        std::make_shared<thrift::transport::TFramedTransport>(socket_, transport_limits());
    client_ = std::make_unique<wire::NodeClient>(
        std::make_shared<thrift::protocol::TCompactProtocol>(framed));
  }

  wire::ProgramReply execute(std::int32_t slot, const wire::ProgramRequest& request,
                             int timeout_millis) {
    socket_->setRecvTimeout(timeout_millis);
    wire::ProgramReply reply;
    client_->execute(reply, slot, request);
    return reply;
  }

 private:
  std::shared_ptr<thrift::transport::TSocket> socket_;
  std::unique_ptr<wire::NodeClient> client_;
};

RequestClient::RequestClient() = default;
RequestClient::~RequestClient() = default;

std::optional<wire::ProgramReply> RequestClient::execute(const membership::Address& address,
                                                         std::int32_t slot,
                                                         const wire::ProgramRequest& request,
                                                         int timeout_millis) {
  const auto key = address.host + ':' + std::to_string(address.port);
  try {
    auto connection = take(key);
    if (!connection) connection = std::make_unique<Connection>(address);
    auto reply = connection->execute(slot, request, timeout_millis);
    give_back(key, std::move(connection));
    return reply;
  } catch (const std::exception&) {
    // The connection is dropped with whatever answer may still come on it, and the idle ones to
    // the same address are suspect too.
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.erase(key);
    return std::nullopt;
  }
}

std::unique_ptr<RequestClient::Connection> RequestClient::take(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = idle_.find(key);
  if (found == idle_.end() || found->second.empty()) return nullptr;
  auto connection = std::move(found->second.back());
  found->second.pop_back();
  return connection;
}

void RequestClient::give_back(const std::string& key, std::unique_ptr<Connection> connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& idle = idle_[key];
  if (idle.size() < kIdlePerAddress) idle.push_back(std::move(connection));
}

}  // namespace sailgate::rpc

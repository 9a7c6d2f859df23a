/// @file Kept HTTP connections to other nodes.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "cluster/peer_directory.hpp"
#include "net/http_client.hpp"

namespace sailgate::cluster {

/// One client for each peer's incarnation. Not thread-safe.
class PeerClients {
 public:
  explicit PeerClients(net::asio::io_context& context) : context_(context) {}

  /// Calls under way share the client: it is replaced when the peer comes back anew.
  std::shared_ptr<net::HttpClient> get(const Peer& peer);

 private:
  struct Client {
    std::int64_t incarnation = 0;
    std::shared_ptr<net::HttpClient> http;
  };

  net::asio::io_context& context_;
  std::unordered_map<std::string, Client> clients_;
};

/// A call to a peer. @param body in Thrift's compact encoding.
net::TextRequest peer_request(const char* path, std::string body);

/// Whether a peer answered a call with success.
bool succeeded(const net::ExchangeResult& exchange);

}  // namespace sailgate::cluster

/// @file Persistent HTTP connections to other nodes.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "cluster/peer_directory.hpp"
#include "net/http_client.hpp"

namespace sailgate::cluster {

/// Keeps one HTTP client per peer incarnation. Not thread-safe.
class PeerClients {
 public:
  explicit PeerClients(net::asio::io_context& context) : context_(context) {}

  /// Returns the client of the peer's current incarnation. Calls in flight share ownership of their
  /// client, so that replacing it after the peer restarted does not disturb them.
  std::shared_ptr<net::HttpClient> get(const Peer& peer);

 private:
  struct Client {
    std::int64_t incarnation = 0;
    std::shared_ptr<net::HttpClient> http;
  };

  net::asio::io_context& context_;
  std::unordered_map<std::string, Client> clients_;
};

/// Builds a POST request to a peer. @param body in Thrift's compact encoding.
net::TextRequest peer_request(const char* path, std::string body);

/// Whether the exchange completed with status 200.
bool succeeded(const net::ExchangeResult& exchange);

}  // namespace sailgate::cluster

#include "cluster/peer_clients.hpp"

namespace sailgate::cluster {

std::shared_ptr<net::HttpClient> PeerClients::get(const Peer& peer) {
  auto& entry = clients_[peer.node];
  if (entry.http == nullptr || entry.incarnation != peer.incarnation) {
    entry.incarnation = peer.incarnation;
    entry.http = std::make_shared<net::HttpClient>(context_, peer.endpoint);
  }
  return entry.http;
}

net::TextRequest peer_request(const char* path, std::string body) {
  net::TextRequest request;
  request.method(net::http::verb::post);
  request.target(path);
  request.body() = std::move(body);
  return request;
}

bool succeeded(const net::ExchangeResult& exchange) {
  return exchange.failure == net::ExchangeFailure::kNone &&
         exchange.response.result() == net::http::status::ok;
}

}  // namespace sailgate::cluster

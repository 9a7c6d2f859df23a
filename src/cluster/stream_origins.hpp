/// @file Which software version began a stream, known wherever its caller may resume it.
///
/// What engines of two software versions write does not fit together, and engines do not check it.
/// A caller resumes a broken stream at any node and names the attempt that brought the first event.
/// The node that served that attempt may have been restarted since or be out of reach.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/beacon_sender.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster_types.h"
#include "net/http_client.hpp"

namespace sailgate::cluster {

/// Keeps the versions of streams that began lately: those of this node, and copies for others. A
/// stream's version is copied to the first live peers in the rendezvous order of its attempt, so
/// that any node knows whom to ask. Not thread-safe.
class StreamOrigins {
 public:
  /// The only software version of a service for the retention period; nullopt if there were
  /// several, or if this node cannot tell.
  using OnlyVersion = std::function<std::optional<std::string>(const std::string& service)>;

  StreamOrigins(net::asio::io_context& context, PeerDirectory& directory, PeerClients& clients,
                const BeaconSender& beacons, OnlyVersion only_version)
      : context_(context),
        directory_(directory),
        clients_(clients),
        beacons_(beacons),
        only_version_(std::move(only_version)) {}

  /// Longer than callers return to a stream.
  static constexpr net::Millis kRetention{std::chrono::seconds(30)};

  /// Records the version of the engine whose event is about to be the first of the attempt.
  void record(const std::string& attempt, const std::string& version);
  /// Looks the version up here and then at the peers that keep copies.
  /// @return nullopt if none of those that answer knows it.
  net::asio::awaitable<std::optional<std::string>> find(std::string attempt,
                                                        net::TimePoint deadline);
  /// Asks peers that may have followed the list of engines for longer than this node.
  /// @return nullopt if none of those that answer can tell.
  net::asio::awaitable<std::optional<std::string>> find_only(std::string service,
                                                             net::TimePoint deadline);

  /// Handles calls of other nodes. @throws std::exception if a message cannot be decoded.
  net::TextResponse serve(const net::TextRequest& request);
  /// Whether serve() handles this path.
  static bool serves(std::string_view path);
  std::size_t size() const { return versions_.size(); }

 private:
  using Client = std::shared_ptr<net::HttpClient>;
  struct Entry {
    std::string attempt;
    net::TimePoint kept_until{};
  };

  void keep(const std::string& attempt, const std::string& version);
  /// The live peers that keep copies for the attempt, in their common order.
  std::vector<Client> holders(const std::string& attempt, std::size_t count);
  net::asio::awaitable<void> copy_to(Client holder, std::string body);
  net::asio::awaitable<std::optional<std::string>> ask(Client holder, wire::StreamOrigin question,
                                                       net::TimePoint deadline);
  std::optional<std::string> answer(const wire::StreamOrigin& question) const;

  net::asio::io_context& context_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  const BeaconSender& beacons_;
  OnlyVersion only_version_;
  std::unordered_map<std::string, std::string> versions_;  ///< by attempt
  std::deque<Entry> by_age_;
};

}  // namespace sailgate::cluster

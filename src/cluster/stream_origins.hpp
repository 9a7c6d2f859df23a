/// @file Which software version began a stream, known wherever its caller may resume it.
///
/// What engines of two software versions write does not fit together, and engines do not check it.
/// A caller resumes a broken stream at any node. It may name the attempt that brought the first
/// event; else its request tells. The node that served it may have been restarted since or be out
/// of reach.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
/// stream's version is copied to the first live peers in the rendezvous order of its request, so
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

  /// A stream by its request, and by the attempt that brought its first event.
  struct Stream {
    std::string request;  ///< fingerprint
    std::string attempt;
  };

  /// Records the version of the engine whose event is about to be the first of the stream.
  void record(const Stream& stream, const std::string& version);
  /// Looks the version up here and then at the peers that keep copies.
  /// @return nullopt if none of those that answer knows it.
  net::asio::awaitable<std::optional<std::string>> find(Stream stream, net::TimePoint deadline);
  /// Versions of all streams of the request, as far as this node and those peers that answer know.
  net::asio::awaitable<std::set<std::string>> find_all(std::string request,
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
    Stream stream;
    std::string version;
    net::TimePoint kept_until{};
  };

  void keep(const Stream& stream, const std::string& version);
  void drop_oldest();
  /// The live peers that keep copies for the request, in their common order.
  std::vector<Client> holders(const std::string& request, std::size_t count);
  net::asio::awaitable<void> copy_to(Client holder, std::string body);
  /// @return body of the answer; nullopt if there is none.
  net::asio::awaitable<std::optional<std::string>> ask(Client holder, const char* path,
                                                       wire::StreamOrigin question,
                                                       net::TimePoint deadline);
  net::asio::awaitable<std::optional<std::string>> ask_version(Client holder,
                                                               wire::StreamOrigin question,
                                                               net::TimePoint deadline);
  std::optional<std::string> answer(const wire::StreamOrigin& question) const;
  std::set<std::string> versions_of(const std::string& request) const;

  net::asio::io_context& context_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  const BeaconSender& beacons_;
  OnlyVersion only_version_;
  std::unordered_map<std::string, std::string> versions_;  ///< by attempt
  /// Number of streams by request and version.
  std::unordered_map<std::string, std::map<std::string, int>> by_request_;
  std::deque<Entry> by_age_;
};

}  // namespace sailgate::cluster

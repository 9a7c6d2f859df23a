/// @file Events of turns in progress, known wherever their callers may resume them.
///
/// A caller resumes a turn at any node and gets only the events that it lacks. The node needs the
/// earlier ones too, since the turn is kept as a whole. The node that served them may have failed.
#pragma once

#include <deque>
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

using TurnEvents = std::vector<wire::TurnEvent>;

/// Events that a caller has from earlier attempts.
struct EarlierEvents {
  TurnEvents events;
  std::int64_t begun_ms = 0;  ///< start of the latest of these attempts by the store's clock
};

/// Keeps the events of recent attempts: those of this node, and copies for others. An attempt's
/// events are copied to the first live peers in the rendezvous order of its turn, so that any node
/// knows whom to ask. Not thread-safe.
class TurnProgressLog {
 public:
  /// An attempt that this node serves.
  class Attempt;

  TurnProgressLog(net::asio::io_context& context, PeerDirectory& directory, PeerClients& clients,
                  const BeaconSender& beacons)
      : context_(context), directory_(directory), clients_(clients), beacons_(beacons) {}

  /// Starts an attempt.
  /// @param turn the same for all attempts of the turn.
  /// @param begun_ms by the store's clock.
  /// @param earlier what the caller has; empty for an attempt from the start.
  std::shared_ptr<Attempt> begin(const std::string& turn, const std::string& attempt,
                                 std::int64_t begun_ms, const EarlierEvents& earlier);
  /// Adds events that are about to be sent to the caller. Copies are sent without waiting.
  void append(const std::shared_ptr<Attempt>& attempt, const TurnEvents& events);
  /// Events of the latest attempt up to and including this one, from here or from peers.
  /// @return nullopt if no node that answers knows them.
  net::asio::awaitable<std::optional<EarlierEvents>> find(std::string turn,
                                                          std::string last_event_id,
                                                          net::TimePoint deadline);

  /// Handles calls of other nodes. @throws std::exception if a message cannot be decoded.
  net::TextResponse serve(const net::TextRequest& request);
  /// Whether serve() handles this path.
  static bool serves(std::string_view path);
  /// Removes what callers no longer resume. Must be called regularly.
  void expire(net::TimePoint now);
  std::size_t turns() const { return turns_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  using Client = std::shared_ptr<net::HttpClient>;
  using Progress = std::shared_ptr<wire::TurnProgress>;

  struct Turn {
    std::vector<Progress> attempts;
    std::size_t bytes = 0;
    net::TimePoint kept_until{};
  };
  struct Age {
    std::string turn;
    net::TimePoint kept_until{};
  };

  /// A turn has at least one attempt.
  static Progress latest_of(const Turn& turn);
  /// @return nullptr if it is not known.
  Progress find_attempt(const std::string& turn, const std::string& attempt) const;
  /// Finds or adds the turn, and keeps it for the whole retention again.
  Turn& touch(const std::string& turn);
  void add(Turn& turn, const Progress& progress, const TurnEvents& events);
  void remove_oldest();
  /// Adds an attempt, in place of the oldest one if there are many.
  void add_attempt(Turn& turn, const Progress& progress);
  net::TextResponse serve_copy(const wire::TurnProgress& message);
  net::TextResponse serve_find(const wire::TurnProgressQuery& query);
  /// The live peers that keep copies for the turn, in their common order.
  std::vector<Client> holders(const std::string& turn, std::size_t count);
  /// Copies the attempt's events to one holder until that has all of them.
  net::asio::awaitable<void> copy_to(std::shared_ptr<Attempt> attempt, std::size_t holder);
  net::asio::awaitable<Progress> ask(Client holder, const std::string& turn,
                                     net::TimePoint deadline);

  net::asio::io_context& context_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  const BeaconSender& beacons_;
  std::unordered_map<std::string, Turn> turns_;
  std::deque<Age> by_age_;
  std::size_t bytes_ = 0;
};

}  // namespace sailgate::cluster

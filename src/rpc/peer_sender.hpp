/// @file One-way delivery of envelopes to peers, one queue and thread per address.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "membership/membership.hpp"
#include "sailgate_types.h"

namespace sailgate::rpc {

/// Sends without waiting. What cannot be delivered is dropped: the protocols send again.
/// Thread-safe.
class PeerSender {
 public:
  PeerSender();
  PeerSender(const PeerSender&) = delete;
  PeerSender& operator=(const PeerSender&) = delete;
  ~PeerSender();

  void send(const membership::Address& address, wire::Envelope envelope);
  /// Envelopes dropped because a queue was full or a peer not reachable.
  std::uint64_t dropped() const;
  std::uint64_t sent() const;
  std::uint64_t sent_bytes() const;

 private:
  class Channel;
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Channel>> channels_;
};

}  // namespace sailgate::rpc

/// @file Failure detection and dissemination among nodes (SWIM family).
///
/// Protocol:
///  1. Each probe interval a node pings one member, in shuffled rounds. Without an answer it asks
///     some others to ping on its behalf; without an answer by the next interval the member is
///     suspected, and after the suspect timeout declared dead.
///  2. A node that hears itself suspected or declared dead raises its counter and refutes.
///  3. Changes travel as rumors on every envelope, each a limited number of times; now and then two
///     nodes compare bucket digests of their tables and exchange what differs.
///  4. Dead members are still pinged now and then, so that two sides of a healed cut find each
///     other. A newer incarnation at the same address ends the older one at once.
///
/// Load per node does not depend on the number of nodes, except for the logarithm in the number of
/// transmissions of a rumor.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "membership/rumor_queue.hpp"
#include "membership/rumor_table.hpp"

namespace sailgate::membership {

/// Address of a node's Thrift service.
struct Address {
  std::string host;
  std::int32_t port = 0;
};

/// Deterministic core of the membership protocol. Not thread-safe.
class Membership {
 public:
  /// @param seeds addresses of nodes that may be up; used until some member is known.
  Membership(wire::Member self, const base::Knobs& knobs, std::vector<Address> seeds,
             std::uint64_t seed, base::Millis now);

  /// Handles the membership parts of an envelope; answers are collected.
  void on_envelope(const wire::Envelope& envelope, base::Millis now);
  /// Probes, timeouts; call every Knobs::heartbeat_interval.
  void on_tick(base::Millis now);

  /// Announces that this node is about to stop.
  void announce_leaving();
  /// Makes a fact known to all nodes. @return whether it was news.
  bool publish(const wire::Rumor& rumor);
  /// Adds rumors to an envelope that is about to leave.
  void attach_rumors(wire::Envelope& envelope);
  /// Envelopes of this protocol; address-only ones have receiver 0.
  struct Outgoing {
    Address address;
    wire::Envelope envelope;
  };
  std::vector<Outgoing> take_outgoing();

  const wire::Member& self() const { return self_; }
  const RumorTable& table() const { return table_; }
  /// Member that is neither suspected nor dead nor leaving.
  bool is_usable(std::int64_t member) const;
  /// Member not declared dead.
  bool is_live(std::int64_t member) const;
  /// Declared dead, or unknown: never heard of or dead for long.
  bool is_dead(std::int64_t member) const;
  std::vector<wire::Member> usable_members() const;
  const wire::Member* find(std::int64_t member) const;

 private:
  struct Probe {
    std::int64_t target = 0;
    std::int32_t sequence = 0;
    base::Millis sent_at = 0;
    bool indirect = false;
    bool answered = false;
  };
  struct Relay {
    std::int64_t requester = 0;
    std::int32_t requester_sequence = 0;
    base::Millis sent_at = 0;
  };

  void meet(const wire::Member& sender, base::Millis now);
  void merge(const wire::Rumor& rumor, base::Millis now);
  void refute(const wire::MemberRumor& claim);
  void set_status(std::int64_t member, wire::MemberStatus::type status, base::Millis now);
  void bury_older_incarnations(const wire::Member& member, base::Millis now);
  void finish_probe(base::Millis now);
  void start_probe(base::Millis now);
  void probe_indirectly();
  void expire(base::Millis now);
  void contact_seed();
  void synchronise(std::int64_t member);
  std::int64_t next_target();
  std::int64_t random_member(bool dead);
  void queue(std::int64_t receiver, wire::Envelope envelope);
  int transmissions() const;

  wire::Member self_;
  const base::Knobs& knobs_;
  std::vector<Address> seeds_;
  base::Random random_;
  RumorTable table_;
  RumorQueue queue_;
  std::map<std::int64_t, base::Millis> status_since_;
  std::vector<std::int64_t> round_;
  std::optional<Probe> probe_;
  std::map<std::int32_t, Relay> relays_;
  std::int32_t next_sequence_ = 1;
  base::Millis next_probe_at_ = 0;
  base::Millis next_sync_at_ = 0;
  std::vector<Outgoing> outgoing_;
};

}  // namespace sailgate::membership

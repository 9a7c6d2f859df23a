#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>

namespace sailgate::membership {
namespace {

using wire::MemberStatus;

/// Transmissions of one rumor: this factor times the logarithm of the member count. What that
/// misses the comparison of tables brings.
constexpr double kTransmissionFactor = 1.0;
constexpr int kMinimumTransmissions = 6;
/// One probe in this many goes to a dead member.
constexpr std::uint64_t kDeadProbePeriod = 8;
/// One probe interval in this many also asks a seed.
constexpr std::uint64_t kSeedContactPeriod = 16;
/// Dead members are remembered this long, so that stale rumors do not revive them.
constexpr base::Millis kDeadRetention = 3'600'000;
/// A relayed ping without an answer is forgotten after this time.
constexpr base::Millis kRelayRetention = 5000;

}  // namespace

Membership::Membership(wire::Member self, const base::Knobs& knobs, std::vector<Address> seeds,
                       std::uint64_t seed, base::Millis now)
    : self_(std::move(self)), knobs_(knobs), seeds_(std::move(seeds)), random_(seed) {
  wire::MemberRumor rumor;
  rumor.member = self_;
  rumor.status = MemberStatus::kAlive;
  rumor.counter = 1;
  publish(as_rumor(rumor));
  next_probe_at_ = now;
  next_sync_at_ = now + knobs_.full_sync_interval;
}

// ---------------------------------------------------------------- input

void Membership::on_envelope(const wire::Envelope& envelope, base::Millis now) {
  meet(envelope.sender, now);
  for (const auto& rumor : envelope.rumors) merge(rumor, now);
  const auto sender = envelope.sender.id;
  if (envelope.__isset.ping) {
    wire::Envelope answer;
    wire::PingReply reply;
    reply.sequence = envelope.ping.sequence;
    answer.__set_ping_reply(reply);
    queue(sender, std::move(answer));
  }
  if (envelope.__isset.ping_reply) {
    const auto sequence = envelope.ping_reply.sequence;
    if (probe_ && probe_->sequence == sequence) probe_->answered = true;
    const auto relay = relays_.find(sequence);
    if (relay != relays_.end()) {
      wire::Envelope answer;
      wire::PingReply reply;
      reply.sequence = relay->second.requester_sequence;
      answer.__set_ping_reply(reply);
      queue(relay->second.requester, std::move(answer));
      relays_.erase(relay);
    }
  }
  if (envelope.__isset.indirect_ping) {
    const auto sequence = next_sequence_++;
    relays_[sequence] = Relay{sender, envelope.indirect_ping.sequence, now};
    wire::Envelope ping;
    wire::Ping body;
    body.sequence = sequence;
    ping.__set_ping(body);
    queue(envelope.indirect_ping.target, std::move(ping));
  }
  if (envelope.__isset.sync_request) {
    wire::Envelope answer;
    answer.rumors = table_.rumors_differing_from(envelope.sync_request.bucket_digests);
    if (!answer.rumors.empty()) {
      wire::SyncReply reply;
      reply.buckets = static_cast<std::int32_t>(RumorTable::kBuckets);
      answer.__set_sync_reply(reply);
      queue(sender, std::move(answer));
    }
  }
}

/// A message proves its sender's process up; the counter protects against stale rumors only.
void Membership::meet(const wire::Member& sender, base::Millis now) {
  if (sender.id == self_.id) return;
  const auto* known = table_.find_member(sender.id);
  if (known == nullptr) {
    wire::MemberRumor rumor;
    rumor.member = sender;
    rumor.status = MemberStatus::kAlive;
    rumor.counter = 1;
    merge(as_rumor(rumor), now);
    return;
  }
  // NOTE: a sender believed dead or suspect is told so directly and refutes with a higher counter;
  // the table comparison in the same message brings that back, and whatever else happened on the
  // other side of a healed cut. Rumors alone would be used up among those that agree already.
  if (known->status == MemberStatus::kDead || known->status == MemberStatus::kSuspect) {
    wire::Envelope envelope;
    envelope.rumors.push_back(as_rumor(*known));
    wire::SyncRequest request;
    request.bucket_digests = table_.digests();
    envelope.__set_sync_request(request);
    queue(sender.id, std::move(envelope));
  }
}

void Membership::merge(const wire::Rumor& rumor, base::Millis now) {
  if (rumor.__isset.member && rumor.member.member.id == self_.id) {
    refute(rumor.member);
    return;
  }
  if (!table_.merge(rumor)) return;
  queue_.push(rumor);
  if (!rumor.__isset.member) return;
  status_since_[rumor.member.member.id] = now;
  if (rumor.member.status == MemberStatus::kAlive) {
    bury_older_incarnations(rumor.member.member, now);
  }
}

void Membership::refute(const wire::MemberRumor& claim) {
  const auto own = *table_.find_member(self_.id);
  const bool accused =
      claim.status == MemberStatus::kSuspect || claim.status == MemberStatus::kDead;
  if (!accused) return;
  if (claim.counter < own.counter) {
    // Refuted before, but the refutation did not reach everybody, as after a cut.
    queue_.push(as_rumor(own));
    return;
  }
  auto answer = own;
  answer.counter = claim.counter + 1;
  publish(as_rumor(answer));
}

/// Ids grow with the time a process started, so that the highest at an address is the newest.
void Membership::bury_older_incarnations(const wire::Member& member, base::Millis now) {
  std::vector<std::int64_t> older;
  bool superseded = false;
  for (const auto& [id, rumor] : table_.members()) {
    const bool same_address =
        rumor.member.host == member.host && rumor.member.rpc_port == member.rpc_port;
    if (!same_address || id == member.id) continue;
    if (id > member.id) superseded = true;
    if (id < member.id && rumor.status != MemberStatus::kDead) older.push_back(id);
  }
  for (const auto id : older) set_status(id, MemberStatus::kDead, now);
  if (superseded) set_status(member.id, MemberStatus::kDead, now);
}

void Membership::set_status(std::int64_t member, MemberStatus::type status, base::Millis now) {
  const auto* known = table_.find_member(member);
  if (known == nullptr) return;
  auto claim = *known;
  claim.status = status;
  merge(as_rumor(claim), now);
}

void Membership::announce_leaving() {
  auto own = *table_.find_member(self_.id);
  own.status = MemberStatus::kLeaving;
  own.counter += 1;
  publish(as_rumor(own));
}

bool Membership::publish(const wire::Rumor& rumor) {
  if (!table_.merge(rumor)) return false;
  queue_.push(rumor);
  return true;
}

// ---------------------------------------------------------------- probing

void Membership::on_tick(base::Millis now) {
  if (probe_ && !probe_->answered && !probe_->indirect &&
      now - probe_->sent_at >= knobs_.probe_timeout) {
    probe_indirectly();
  }
  if (now >= next_probe_at_) {
    next_probe_at_ = now + knobs_.probe_interval;
    finish_probe(now);
    start_probe(now);
  }
  if (now >= next_sync_at_) {
    next_sync_at_ = now + knobs_.full_sync_interval;
    const auto member = random_member(false);
    if (member != 0) synchronise(member);
  }
  expire(now);
}

void Membership::finish_probe(base::Millis now) {
  if (!probe_) return;
  const auto target = probe_->target;
  const auto* known = table_.find_member(target);
  const bool failed = !probe_->answered;
  probe_.reset();
  if (known == nullptr || !failed) return;
  const bool doubted =
      known->status == MemberStatus::kAlive || known->status == MemberStatus::kLeaving;
  if (!doubted) return;
  // A leaving member that stops answering has left.
  const bool leaving = known->status == MemberStatus::kLeaving;
  set_status(target, leaving ? MemberStatus::kDead : MemberStatus::kSuspect, now);
}

void Membership::start_probe(base::Millis now) {
  const auto target = next_target();
  if (target == 0) {
    contact_seed();
    return;
  }
  Probe probe;
  probe.target = target;
  probe.sequence = next_sequence_++;
  probe.sent_at = now;
  probe_ = probe;
  wire::Envelope envelope;
  wire::Ping ping;
  ping.sequence = probe.sequence;
  envelope.__set_ping(ping);
  queue(target, std::move(envelope));
}

void Membership::probe_indirectly() {
  probe_->indirect = true;
  for (std::size_t i = 0; i < knobs_.indirect_probes; ++i) {
    const auto helper = random_member(false);
    if (helper == 0 || helper == probe_->target) continue;
    wire::Envelope envelope;
    wire::IndirectPing ping;
    ping.sequence = probe_->sequence;
    ping.target = probe_->target;
    envelope.__set_indirect_ping(ping);
    queue(helper, std::move(envelope));
  }
}

void Membership::expire(base::Millis now) {
  std::vector<std::int64_t> overdue;
  std::vector<std::int64_t> forgotten;
  for (const auto& [id, rumor] : table_.members()) {
    if (id == self_.id) continue;
    const auto age = now - status_since_[id];
    if (rumor.status == MemberStatus::kSuspect && age >= knobs_.suspect_timeout) {
      overdue.push_back(id);
    }
    if (rumor.status == MemberStatus::kDead && age >= kDeadRetention) forgotten.push_back(id);
  }
  for (const auto id : overdue) set_status(id, MemberStatus::kDead, now);
  for (const auto id : forgotten) {
    table_.erase_member(id);
    status_since_.erase(id);
  }
  for (auto it = relays_.begin(); it != relays_.end();) {
    it = now - it->second.sent_at >= kRelayRetention ? relays_.erase(it) : std::next(it);
  }
}

void Membership::contact_seed() {
  if (seeds_.empty()) return;
  const auto& address = seeds_[random_.below(seeds_.size())];
  if (address.host == self_.host && address.port == self_.rpc_port) return;
  wire::Envelope envelope;
  envelope.sender = self_;
  wire::SyncRequest request;
  request.bucket_digests = table_.digests();
  envelope.__set_sync_request(request);
  attach_rumors(envelope);
  outgoing_.push_back({address, std::move(envelope)});
}

void Membership::synchronise(std::int64_t member) {
  wire::Envelope envelope;
  wire::SyncRequest request;
  request.bucket_digests = table_.digests();
  envelope.__set_sync_request(request);
  queue(member, std::move(envelope));
}

std::int64_t Membership::next_target() {
  // NOTE: seeds are asked now and then for good: two parts of a cluster that was cut while it
  // started do not know of each other at all, and dead members alone would not lead them together.
  if (random_.below(kSeedContactPeriod) == 0) contact_seed();
  if (random_.below(kDeadProbePeriod) == 0) {
    const auto dead = random_member(true);
    if (dead != 0) return dead;
  }
  while (true) {
    if (round_.empty()) {
      for (const auto& [id, rumor] : table_.members()) {
        if (id != self_.id && rumor.status != MemberStatus::kDead) round_.push_back(id);
      }
      for (std::size_t i = round_.size(); i > 1; --i) {
        std::swap(round_[i - 1], round_[random_.below(i)]);
      }
      if (round_.empty()) return 0;
    }
    const auto target = round_.back();
    round_.pop_back();
    if (is_live(target)) return target;
  }
}

std::int64_t Membership::random_member(bool dead) {
  std::vector<std::int64_t> candidates;
  for (const auto& [id, rumor] : table_.members()) {
    const bool is_dead_member = rumor.status == MemberStatus::kDead;
    if (id != self_.id && is_dead_member == dead) candidates.push_back(id);
  }
  return candidates.empty() ? 0 : candidates[random_.below(candidates.size())];
}

// ---------------------------------------------------------------- output

void Membership::queue(std::int64_t receiver, wire::Envelope envelope) {
  const auto* known = table_.find_member(receiver);
  if (known == nullptr) return;
  envelope.sender = self_;
  envelope.receiver = receiver;
  attach_rumors(envelope);
  outgoing_.push_back({Address{known->member.host, known->member.rpc_port}, std::move(envelope)});
}

void Membership::attach_rumors(wire::Envelope& envelope) {
  auto rumors = queue_.take(knobs_.rumors_per_envelope, transmissions());
  envelope.rumors.insert(envelope.rumors.end(), rumors.begin(), rumors.end());
}

std::vector<Membership::Outgoing> Membership::take_outgoing() {
  std::vector<Outgoing> taken;
  taken.swap(outgoing_);
  return taken;
}

int Membership::transmissions() const {
  const auto members = static_cast<double>(table_.members().size());
  const int scaled = static_cast<int>(kTransmissionFactor * std::log2(members + 1.0));
  return std::max(kMinimumTransmissions, scaled);
}

// ---------------------------------------------------------------- reading

bool Membership::is_usable(std::int64_t member) const {
  const auto* known = table_.find_member(member);
  return known != nullptr && known->status == MemberStatus::kAlive;
}

bool Membership::is_live(std::int64_t member) const {
  const auto* known = table_.find_member(member);
  return known != nullptr && known->status != MemberStatus::kDead;
}

bool Membership::is_dead(std::int64_t member) const { return !is_live(member); }

std::vector<wire::Member> Membership::usable_members() const {
  std::vector<wire::Member> result;
  for (const auto& [id, rumor] : table_.members()) {
    if (rumor.status == MemberStatus::kAlive) result.push_back(rumor.member);
  }
  return result;
}

const wire::Member* Membership::find(std::int64_t member) const {
  const auto* known = table_.find_member(member);
  return known == nullptr ? nullptr : &known->member;
}

}  // namespace sailgate::membership

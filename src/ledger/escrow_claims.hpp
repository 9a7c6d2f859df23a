/// @file Claims, renews and hands over this node's escrow shards.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/escrow_shard.hpp"
#include "net/asio.hpp"
#include "observe/structured_log.hpp"
#include "store/store_clock.hpp"
#include "store/table_store.hpp"

namespace sailgate::ledger {

/// Information about other nodes that claims depend on.
struct EscrowPeers {
  /// Returns shards without a live owner that this node should claim.
  std::function<std::vector<int>()> unowned;
  /// Returns whether a process is alive as far as this node knows.
  std::function<bool(std::int64_t incarnation)> is_alive;
};

/// Not thread-safe: use only on the event loop.
class EscrowClaims {
 public:
  /// @param holder identifies this process uniquely among all past and present processes.
  EscrowClaims(net::asio::io_context& context, store::TableStore& store,
               const store::StoreClock& clock, observe::StructuredLog& log, std::int64_t holder)
      : context_(context), store_(store), clock_(clock), log_(log), holder_(holder) {}

  /// Until this is called there is no escrow, and the budget rows hold all budgets in full.
  void enable(EscrowPeers peers);
  bool enabled() const { return peers_.has_value(); }

  /// Claims and renews shards periodically until the event loop stops or hand_over() is called.
  net::asio::awaitable<void> run();
  /// Runs one iteration of run().
  net::asio::awaitable<void> claim_and_renew();

  /// Returns whether this node owns the program's shard, whether or not its escrow may be spent.
  bool owns(const std::string& program) const;
  /// Returns whether this node owns the program's shard and may spend its escrow.
  bool may_spend(const std::string& program) const;
  /// Returns how the program's budget is currently divided for this node.
  BudgetDivision division(const std::string& program, std::int64_t budget,
                          std::int64_t turn_tokens) const;
  /// Tokens of the program's escrow that were spent before its current account in memory was
  /// created.
  std::int64_t previously_spent(const std::string& program) const;
  /// Called when the program's account is dropped from memory. @param spent escrow tokens that the
  /// account spent.
  void record_spent(const std::string& program, std::int64_t spent);

  /// Owned shards, as announced to other nodes: those whose escrow may be spent, and those without.
  std::vector<std::int16_t> spendable_shards() const { return shards(true); }
  std::vector<std::int16_t> bare_shards() const { return shards(false); }

  /// Gives up all shards immediately and writes what was spent, because this node shuts down.
  /// @param accounts escrow tokens spent by each program in memory.
  net::asio::awaitable<void> hand_over(std::map<std::string, std::int64_t> accounts,
                                       net::TimePoint deadline);

 private:
  struct Claim {
    wire::EscrowRow row;
    std::int64_t version = 0;
    net::TimePoint written_at{};  ///< taken before the write was sent
  };
  struct Spent {
    std::int64_t tokens = 0;
    net::TimePoint last_used{};
  };
  /// A row to write and its shard.
  struct Write {
    int shard = 0;
    wire::EscrowRow row;
    std::int64_t version = 0;
  };
  enum class WriteOutcome { kDone, kConflict, kNoResponse };

  std::vector<std::int16_t> shards(bool spendable) const;
  bool spendable(const Claim& claim) const;
  net::asio::awaitable<void> claim_unowned();
  net::asio::awaitable<void> renew();
  /// Returns the writes that claim the `wanted` shards, given the stored rows; skips shards whose
  /// owner is alive.
  std::vector<Write> plan_claims(const std::vector<int>& wanted,
                                 const std::vector<store::Row>& rows, std::int64_t now_ms) const;
  /// Writes the rows in batches, one transaction each, and updates the claims with those that
  /// succeeded.
  net::asio::awaitable<WriteOutcome> write(std::vector<Write> writes, net::Millis timeout);
  net::asio::awaitable<WriteOutcome> write_batch(const std::vector<Write>& batch,
                                                 net::Millis timeout);
  void evict_ended(net::TimePoint now);
  /// Returns the writes that hand over `claims` and record everything spent.
  std::vector<Write> plan_handovers(const std::map<int, Claim>& claims, std::int64_t now_ms) const;

  net::asio::io_context& context_;
  store::TableStore& store_;
  const store::StoreClock& clock_;
  observe::StructuredLog& log_;
  std::int64_t holder_;
  std::optional<EscrowPeers> peers_;
  std::map<int, Claim> claims_;
  std::unordered_map<std::int64_t, Spent>
      spent_;  ///< of programs without an account, by program digest
  net::TimePoint next_eviction_{};
  bool stopping_ = false;
};

}  // namespace sailgate::ledger

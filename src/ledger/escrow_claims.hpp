/// @file The shards of programs that this node owns, and how it gets, keeps and hands them on.
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

/// What other nodes know, as far as claims depend on it.
struct EscrowPeers {
  /// Shards without a live owner that this node should claim.
  std::function<std::vector<int>()> unowned;
  /// Whether a process lives, as far as this node has heard.
  std::function<bool(std::int64_t incarnation)> is_alive;
};

/// Not thread-safe: belongs to the event loop.
class EscrowClaims {
 public:
  /// @param holder identifies this process among all that ever ran.
  EscrowClaims(net::asio::io_context& context, store::TableStore& store,
               const store::StoreClock& clock, observe::StructuredLog& log, std::int64_t holder)
      : context_(context), store_(store), clock_(clock), log_(log), holder_(holder) {}

  /// Until this is called all budgets are in their rows whole.
  void enable(EscrowPeers peers);
  bool enabled() const { return peers_.has_value(); }

  /// Claims and renews for as long as the event loop runs and nothing is handed over.
  net::asio::awaitable<void> run();
  /// One round of run().
  net::asio::awaitable<void> claim_and_renew();

  /// Whether this node answers for the program's shard, with or without an escrow to spend.
  bool owns(const std::string& program) const;
  /// Whether this node has an escrow of the program to spend.
  bool may_spend(const std::string& program) const;
  /// How the budget of a program is divided for this node now.
  BudgetDivision division(const std::string& program, std::int64_t budget,
                          std::int64_t turn_tokens) const;
  /// Tokens of the program's escrow that were spent before its account in memory began.
  std::int64_t previously_spent(const std::string& program) const;
  /// The program's account is dropped from memory. @param spent of its escrow since it began.
  void record_spent(const std::string& program, std::int64_t spent);

  /// Owned shards, for the other nodes.
  std::vector<std::int16_t> spendable_shards() const { return shards(true); }
  std::vector<std::int16_t> bare_shards() const { return shards(false); }

  /// This node stops: gives its shards up at once and writes what it spent.
  /// @param accounts tokens of their escrow that programs in memory spent, by program.
  net::asio::awaitable<void> hand_over(std::map<std::string, std::int64_t> accounts,
                                       net::TimePoint deadline);

 private:
  struct Claim {
    wire::EscrowRow row;
    std::int64_t version = 0;
    net::TimePoint written_at{};  ///< before the write was sent
  };
  struct Spent {
    std::int64_t tokens = 0;
    net::TimePoint last_used{};
  };
  /// A row to write and the shard that it is of.
  struct Write {
    int shard = 0;
    wire::EscrowRow row;
    std::int64_t version = 0;
  };
  enum class WriteEnd { kDone, kConflict, kNoAnswer };

  std::vector<std::int16_t> shards(bool spendable) const;
  bool spendable(const Claim& claim) const;
  net::asio::awaitable<void> claim_unowned();
  net::asio::awaitable<void> renew();
  /// Shards to be written of those wanted, as the store has them.
  std::vector<Write> plan_claims(const std::vector<int>& wanted,
                                 const std::vector<store::Row>& rows, std::int64_t now_ms) const;
  /// Writes rows, some in each transaction, and takes over what was written.
  net::asio::awaitable<WriteEnd> write(std::vector<Write> writes, net::Millis timeout);
  net::asio::awaitable<WriteEnd> write_batch(const std::vector<Write>& batch, net::Millis timeout);
  void forget_ended(net::TimePoint now);
  /// Rows that hand `claims` on with all that was spent.
  std::vector<Write> plan_handovers(const std::map<int, Claim>& claims, std::int64_t now_ms) const;

  net::asio::io_context& context_;
  store::TableStore& store_;
  const store::StoreClock& clock_;
  observe::StructuredLog& log_;
  std::int64_t holder_;
  std::optional<EscrowPeers> peers_;
  std::map<int, Claim> claims_;
  std::unordered_map<std::int64_t, Spent> spent_;  ///< of programs without an account, by digest
  net::TimePoint next_forgetting_{};
  bool stopping_ = false;
};

}  // namespace sailgate::ledger

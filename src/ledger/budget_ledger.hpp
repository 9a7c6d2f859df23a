/// @file Reserves tokens of program budgets that are stored in the table store.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/budget_account.hpp"
#include "ledger/escrow_claims.hpp"
#include "net/async_mutex.hpp"
#include "observe/structured_log.hpp"
#include "store/part_health.hpp"
#include "store/retrying_store.hpp"
#include "store/store_clock.hpp"

namespace sailgate::ledger {

enum class ReserveOutcome {
  kReserved,
  kExhausted,    ///< the budget does not cover the turn
  kUnavailable,  ///< the state of the budget cannot be determined now
};

/// Result of returning tokens to the store.
struct ReleaseResult {
  bool released = false;  ///< some tokens were returned to the store
  bool complete = true;   ///< no tokens that should be returned remain
};

/// Not thread-safe: use only on the event loop. All operations end before the given deadline.
class BudgetLedger {
 public:
  /// @param holder identifies this process uniquely among all past and present processes.
  BudgetLedger(net::asio::io_context& context, store::TableStore& store,
               const store::StoreClock& clock, EscrowClaims& escrow, observe::StructuredLog& log,
               std::int64_t holder);

  /// Reserves `tokens` of the program's budget for one turn.
  net::asio::awaitable<ReserveOutcome> reserve(std::string program, std::int64_t tokens,
                                               std::int64_t budget, net::TimePoint deadline);
  /// Reserves `tokens` without accessing the store. @return false if fewer are on hand.
  bool reserve_available(const std::string& program, std::int64_t tokens, std::int64_t budget);
  /// Unless the tokens on hand cover another turn of the size last requested, requests a larger
  /// grant in the background, so that the next turn can begin during a store outage.
  void raise_ahead(const std::string& program);
  /// Records that the budget does not cover a turn of this size and that no other holder returns
  /// tokens. The result is cached for a short time, because programs in an endless loop keep
  /// asking.
  void mark_exhausted(const std::string& program, std::int64_t tokens);
  bool recently_exhausted(const std::string& program, std::int64_t tokens) const;
  /// Ends a reservation. @param used tokens delivered to the caller.
  void settle(const std::string& program, std::int64_t reserved, std::int64_t used);

  /// Time within which the store is expected to respond.
  net::Millis store_call_timeout() const { return store_.attempt_timeout(); }
  store::LatencyEstimate& latency() { return store_.latency(); }

  /// Returns the program's unused tokens to the store.
  net::asio::awaitable<ReleaseResult> release(std::string program, net::TimePoint deadline);
  /// Returns the unused tokens of all programs before shutdown, most recently used programs first,
  /// until the deadline.
  net::asio::awaitable<void> release_all(net::TimePoint deadline);
  /// Escrow tokens spent by each program in memory.
  std::map<std::string, std::int64_t> escrow_spent() const;
  /// Returns the tokens of programs that have been idle for long and removes them from memory.
  /// Refreshes the rows of all other programs so that they do not expire.
  void evict_idle(net::TimePoint now);
  /// Number of programs in memory.
  std::size_t programs() const { return programs_.size(); }
  /// Other processes known to hold tokens of the program.
  std::vector<std::int64_t> other_holders(const std::string& program);

 private:
  /// Number of rows a budget is divided into, each in a different partition of the store.
  static constexpr std::size_t kBudgetShares = 3;

  /// Tokens that a turn needs from its program's budget.
  struct TokenRequest {
    std::int64_t tokens = 0;
    std::int64_t from_rows = 0;  ///< total number of tokens that the budget's rows may grant
    net::TimePoint requested_at;
    net::TimePoint deadline;
  };

  struct Program {
    Program(net::asio::io_context& context, std::int64_t holder)
        : account(holder, kBudgetShares), mutex(context) {}
    BudgetAccount account;
    net::AsyncMutex mutex;  ///< serializes writes of the budget's rows
    net::TimePoint last_used{};
    net::TimePoint last_written = net::Clock::now();  ///< last write of any row of the budget
    bool evicting = false;                            ///< eviction is in progress
    bool raising_ahead = false;                       ///< grant_ahead() is in progress
    std::int64_t turn_tokens = 0;                     ///< requested by the last turn
    std::int64_t budget = 0;                          ///< stated by the last turn
    std::int64_t exhausted_tokens = 0;
    net::TimePoint exhausted_until{};
  };
  /// Progress of returning tokens at a planned shutdown.
  struct Releases {
    std::vector<std::string> programs;
    std::size_t next = 0;
    std::size_t done = 0;
    int workers = 0;
    net::TimePoint deadline;
  };

  using ProgramPointer = std::shared_ptr<Program>;

  /// Computes the row to write for a share; nullopt if no write is needed.
  using PlanWrite = std::optional<wire::BudgetRow> (BudgetAccount::*)(std::size_t);

  /// Sets the account's escrow to what this node may spend now.
  /// @return total number of tokens that the budget's rows may grant.
  std::int64_t update_escrow(const std::string& id, Program& program, std::int64_t tokens,
                             std::int64_t budget);
  /// ID of the row that holds a share of a program's budget.
  static store::RowId budget_row(const std::string& program, std::size_t share);
  /// Shares in the order to try them; those whose partitions failed recently come last.
  std::vector<std::size_t> shares_by_health(const std::string& program) const;

  ProgramPointer program(const std::string& id);
  /// Writes the row computed by `plan` for each share, retrying until the write succeeds, the store
  /// is full or the deadline passes.
  net::asio::awaitable<ReleaseResult> write_all_shares(std::string id, ProgramPointer program,
                                                       PlanWrite plan, net::TimePoint deadline);
  net::asio::awaitable<ReserveOutcome> raise_grant(std::string id, ProgramPointer program,
                                                   TokenRequest request);
  net::asio::awaitable<void> grant_ahead(std::string id, ProgramPointer program);
  /// Increases the grant in one share after the other until the request is covered.
  /// @return status of the last write; nullopt if no share is known to have unallocated tokens.
  net::asio::awaitable<std::optional<store::StoreStatus>> raise_grant_in_shares(
      std::string id, ProgramPointer program, TokenRequest request, store::RetryBackoff& pace);
  /// Reads the rows of all shares. @return whether all reads succeeded.
  net::asio::awaitable<bool> read_shares(std::string id, ProgramPointer program,
                                         net::TimePoint deadline);
  /// Builds the conditional write of a share's row, which also replaces its expiry index entry.
  /// @param row its expiry time is set.
  store::Transaction budget_write(const std::string& id, const Program& program, std::size_t share,
                                  wire::BudgetRow& row) const;
  /// Updates the account with the result of writing a share's row.
  store::StoreStatus apply_write(const std::string& id, Program& program, std::size_t share,
                                 wire::BudgetRow row, const store::StoreResult& result);
  net::asio::awaitable<bool> read_budget(std::string id, ProgramPointer program, std::size_t share,
                                         net::TimePoint deadline);
  net::asio::awaitable<ReleaseResult> write_share(std::string id, ProgramPointer program,
                                                  std::size_t share, PlanWrite plan,
                                                  net::TimePoint deadline);
  void log_exhausted(const std::string& id, const BudgetAccount& account,
                     const TokenRequest& request);
  /// Returns the tokens of one program after another until none are left or the deadline passes.
  net::asio::awaitable<void> run_release_worker(std::shared_ptr<Releases> releases);
  net::asio::awaitable<void> evict(std::string id);
  /// Rewrites the rows of a budget unchanged, so that they do not expire.
  net::asio::awaitable<void> refresh(std::string id);
  /// Programs with available tokens, most recently used first.
  std::vector<std::string> programs_by_last_use() const;
  static void apply_read(Program& program, std::size_t share, const store::StoreResult& result);

  net::asio::io_context& context_;
  store::RetryingStore store_;
  base::Random random_;
  const store::StoreClock& clock_;
  EscrowClaims& escrow_;
  store::PartitionHealth budget_parts_;
  observe::StructuredLog& log_;
  std::int64_t holder_;
  std::unordered_map<std::string, ProgramPointer> programs_;
  bool releasing_all_ = false;  ///< for shutdown: nothing is granted ahead any more
  net::TimePoint next_eviction_{};
};

}  // namespace sailgate::ledger

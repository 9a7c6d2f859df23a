/// @file Token budgets of programs, kept in the table store.
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
  kExhausted,    ///< the budget cannot hold the turn
  kUnavailable,  ///< nobody can tell now
};

/// How giving tokens back ended.
struct ReleaseResult {
  bool released = false;  ///< the store has some tokens back
  bool complete = true;   ///< nothing that was to be given is left
};

/// Not thread-safe: belongs to the event loop. All waits end before the given deadline.
class BudgetLedger {
 public:
  /// @param holder identifies this process among all that ever ran.
  BudgetLedger(net::asio::io_context& context, store::TableStore& store,
               const store::StoreClock& clock, EscrowClaims& escrow, observe::StructuredLog& log,
               std::int64_t holder);

  /// Sets `tokens` of the program's budget aside for one turn.
  net::asio::awaitable<ReserveOutcome> reserve(std::string program, std::int64_t tokens,
                                               std::int64_t budget, net::TimePoint deadline);
  /// Sets what is left of this node's tokens aside for one turn, without the store.
  /// @return tokens reserved, `tokens` at most; 0: too few to be of use.
  std::int64_t reserve_remaining(const std::string& program, std::int64_t tokens,
                                 std::int64_t budget);
  /// The budget cannot hold a turn of so many tokens, and no holder gives any back: said again from
  /// memory for a short time, as programs without end ask again and again.
  void mark_exhausted(const std::string& program, std::int64_t tokens);
  bool recently_exhausted(const std::string& program, std::int64_t tokens) const;
  /// Ends a reservation. @param used tokens that were handed to the caller.
  void settle(const std::string& program, std::int64_t reserved, std::int64_t used);

  /// Time in which the store answers a call, if it does.
  net::Millis store_call_timeout() const { return store_.patience(); }
  store::LatencyEstimate& latency() { return store_.latency(); }

  /// Gives back tokens of the program that no turn uses.
  net::asio::awaitable<ReleaseResult> release(std::string program, net::TimePoint deadline);
  /// Gives back the unused tokens of all programs, those used last first, as far as the time goes:
  /// this process stops.
  net::asio::awaitable<void> release_all(net::TimePoint deadline);
  /// Tokens of their escrow that programs in memory spent, by program.
  std::map<std::string, std::int64_t> escrow_spent() const;
  /// Gives back the tokens of programs that were not used for long, and forgets them; keeps the
  /// rows of the others from expiring.
  void evict_idle(net::TimePoint now);
  /// Programs in memory.
  std::size_t programs() const { return programs_.size(); }
  /// Other processes that hold tokens of the program, as far as this one knows.
  std::vector<std::int64_t> other_holders(const std::string& program);

 private:
  /// Rows that a budget is split into, each in a part of its own.
  static constexpr std::size_t kBudgetShares = 3;

  /// What a turn needs of its program's budget.
  struct TokenDemand {
    std::int64_t tokens = 0;
    std::int64_t from_rows = 0;  ///< tokens that the budget's rows may grant in all
    net::TimePoint asked_at;
    net::TimePoint deadline;
  };

  struct Program {
    Program(net::asio::io_context& context, std::int64_t holder)
        : account(holder, kBudgetShares), mutex(context) {}
    BudgetAccount account;
    net::AsyncMutex mutex;  ///< one write of the budget's rows at a time
    net::TimePoint last_used{};
    net::TimePoint last_written = net::Clock::now();  ///< some row of the budget
    bool leaving = false;                             ///< being forgotten
    std::int64_t exhausted_tokens = 0;
    net::TimePoint exhausted_until{};
  };
  /// Tokens that are given back at a planned stop.
  struct Releases {
    std::vector<std::string> programs;
    std::size_t next = 0;
    std::size_t done = 0;
    int workers = 0;
    net::TimePoint deadline;
  };

  using ProgramPointer = std::shared_ptr<Program>;

  using GiveBack = std::optional<wire::BudgetRow> (BudgetAccount::*)(std::size_t);

  /// Takes the escrow that this node may spend now over into the account.
  /// @return tokens that the rows of the budget may grant in all.
  std::int64_t update_escrow(const std::string& id, Program& program, std::int64_t tokens,
                             std::int64_t budget);
  /// Where a share of a program's budget is kept.
  static store::RowId budget_row(const std::string& program, std::size_t share);
  /// Shares whose parts failed lately come last.
  std::vector<std::size_t> shares_by_health(const std::string& program) const;

  ProgramPointer program(const std::string& id);
  /// Writes what `plan` gives for each share until that holds.
  net::asio::awaitable<ReleaseResult> give_back(std::string id, ProgramPointer program,
                                                GiveBack plan, net::TimePoint deadline);
  net::asio::awaitable<ReserveOutcome> raise_grant(std::string id, ProgramPointer program,
                                                   TokenDemand demand);
  /// Raises the grant in one share after the other until the turn is held.
  /// @return how the last write ended; nullopt: no share has anything to give, as far as known.
  net::asio::awaitable<std::optional<store::StoreStatus>> draw_on_shares(std::string id,
                                                                         ProgramPointer program,
                                                                         TokenDemand demand,
                                                                         store::Pace& pace);
  /// Reads all shares anew. @return whether all were read.
  net::asio::awaitable<bool> read_shares(std::string id, ProgramPointer program,
                                         net::TimePoint deadline);
  /// The conditional write of a share's row, with its entry of the expiry index in place of the one
  /// before. @param row gets the time at which it expires.
  store::Transaction budget_write(const std::string& id, const Program& program, std::size_t share,
                                  wire::BudgetRow& row) const;
  /// Takes over how the write of a share's row ended.
  store::StoreStatus take_written(const std::string& id, Program& program, std::size_t share,
                                  wire::BudgetRow row, const store::StoreResult& result);
  net::asio::awaitable<bool> read_budget(std::string id, ProgramPointer program, std::size_t share,
                                         net::TimePoint deadline);
  net::asio::awaitable<ReleaseResult> give_back_share(std::string id, ProgramPointer program,
                                                      std::size_t share, GiveBack plan,
                                                      net::TimePoint deadline);
  void log_exhausted(const std::string& id, const BudgetAccount& account,
                     const TokenDemand& demand);
  /// Gives back the tokens of one program after the other until none is left.
  net::asio::awaitable<void> release_next(std::shared_ptr<Releases> releases);
  net::asio::awaitable<void> forget(std::string id);
  /// Writes the rows of a budget as they are, so that they do not expire.
  net::asio::awaitable<void> touch(std::string id);
  /// Programs with unused tokens, those used last first.
  std::vector<std::string> holding_by_use() const;
  static void apply_read(Program& program, std::size_t share, const store::StoreResult& result);

  net::asio::io_context& context_;
  store::RetryingStore store_;
  base::Random random_;
  const store::StoreClock& clock_;
  EscrowClaims& escrow_;
  store::PartHealth budget_parts_;
  observe::StructuredLog& log_;
  std::int64_t holder_;
  std::unordered_map<std::string, ProgramPointer> programs_;
  net::TimePoint next_forgetting_{};
};

}  // namespace sailgate::ledger

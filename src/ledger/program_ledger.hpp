/// @file The state of programs in the table store: escrow, budgets and turns.
#pragma once

#include "ledger/budget_ledger.hpp"
#include "ledger/turn_ledger.hpp"

namespace sailgate::ledger {

/// The budget ledger and the turn ledger share one estimate of the store's latency.
struct ProgramLedger {
  /// @param holder identifies this process uniquely among all past and present processes.
  ProgramLedger(net::asio::io_context& context, store::TableStore& store,
                const store::StoreClock& clock, observe::StructuredLog& log, std::int64_t holder)
      : escrow(context, store, clock, log, holder),
        budgets(context, store, clock, escrow, log, holder),
        turns(context, store, clock, budgets.latency(), log, static_cast<std::uint64_t>(holder)) {}

  EscrowClaims escrow;
  BudgetLedger budgets;
  TurnLedger turns;
};

}  // namespace sailgate::ledger

/// @file What the table store keeps of programs: budgets and histories.
#pragma once

#include "ledger/budget_ledger.hpp"
#include "ledger/turn_ledger.hpp"

namespace sailgate::ledger {

/// Both share what is known of the store's answer times.
struct ProgramLedger {
  /// @param holder identifies this process among all that ever ran.
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

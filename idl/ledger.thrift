/** Rows of the program ledger in the table store. */
namespace cpp sailgate.wire

/** One finished turn of a program. */
struct TurnSegment {
  1: string turn
  2: binary input
  /** The data of each event of the answer, each followed by a line feed. */
  3: binary output
  /** When the turn's own row expires, by the store's clock in milliseconds; 0: not known. */
  4: i64 row_expires_at
}

/**
 * A finished turn with as many of its predecessors as fit one row. Reading a chain takes one read
 * for each `earlier` that is set.
 */
struct TurnRow {
  /** Oldest first; the last one is the turn this row belongs to. */
  1: list<TurnSegment> segments
  /** Turn whose row holds what came before the first segment; empty at the start of a chain. */
  2: string earlier
}

/**
 * Tokens of one program's budget that each node process may let its turns generate. A node's tokens
 * count as spent until it lowers its own entry.
 */
struct BudgetRow {
  1: map<i64, i64> granted
}

/**
 * Who may spend the escrow of one shard of programs, that is the part of their budgets that no
 * budget row knows.
 */
struct EscrowRow {
  /** Process that answers for the shard; 0: nobody. */
  1: i64 owner
  /** Whether the owner may spend the escrow. */
  2: bool spendable
  /** When the owner wrote this last, by the store's clock in milliseconds. */
  3: i64 claimed_at
  /** Earliest time at which an escrow that a lost owner may have spent is whole again. */
  4: i64 spendable_from
  /** Tokens that earlier owners spent, by the digest of the program. */
  5: map<i64, i64> spent
  /** When `spent` may be forgotten: its programs have ended. */
  6: i64 spent_until
}

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
 * A finished turn, and where its predecessors are. Messages between nodes hold the whole chain as
 * segments; rows of the store hold the turn alone.
 */
struct TurnRow {
  /** Oldest first; the last one is the turn this row belongs to. */
  1: list<TurnSegment> segments
  /** Turn whose row holds what came before the first segment; empty at the start of a chain. */
  2: string earlier
  /**
   * The nearest predecessors, nearest first, so that their rows can be read side by side. Empty
   * where several segments are held.
   */
  3: optional list<string> ancestors
}

/**
 * Tokens of one program's budget that each node process may let its turns generate. A node's tokens
 * count as spent until it lowers its own entry.
 */
struct BudgetRow {
  1: map<i64, i64> granted
  /** When the row expires, by the store's clock in milliseconds; 0: not known. */
  2: optional i64 expires_at = 0
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

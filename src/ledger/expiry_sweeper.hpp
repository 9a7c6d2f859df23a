/// @file Removes expired rows of the ledger.
#pragma once

#include <functional>
#include <string>

#include "base/random.hpp"
#include "ledger/expiry_index.hpp"
#include "observe/structured_log.hpp"
#include "store/store_clock.hpp"
#include "store/table_store.hpp"

namespace sailgate::ledger {

/// Sweeps randomly chosen partitions at the rate given by ledger/sweep_schedule.hpp. Several nodes
/// may sweep the same partition: a row is removed only if it still has the version that its index
/// entry names. Not thread-safe.
class ExpirySweeper {
 public:
  /// @param nodes returns the number of nodes that sweep. @param full returns whether the store
  /// refuses writes because it is full.
  ExpirySweeper(net::asio::io_context& context, store::TableStore& store,
                const store::StoreClock& clock, observe::StructuredLog& log,
                std::function<std::size_t()> nodes, std::function<bool()> full, std::uint64_t seed)
      : context_(context),
        store_(store),
        clock_(clock),
        log_(log),
        nodes_(std::move(nodes)),
        full_(std::move(full)),
        random_(seed) {}

  /// Sweeps until the event loop stops.
  net::asio::awaitable<void> run();
  /// Removes the expired rows of one partition. @return the number of removed rows, index entries
  /// excluded.
  net::asio::awaitable<std::size_t> sweep_part(std::string part);

 private:
  /// The removals of one transaction.
  struct Batch {
    store::Transaction transaction;
    std::size_t rows = 0;
  };

  /// Returns whether a row is known or assumed to have the version that its index entry names.
  using VersionMatches = std::function<bool(const store::RowCondition&)>;

  /// Plans the removal of rows and their entries. If a row was rewritten, only the stale entry is
  /// removed.
  static Batch plan(const std::vector<store::Row>& entries, const VersionMatches& version_matches);
  /// @return the number of removed rows; nullopt if the store did not perform the transaction.
  net::asio::awaitable<std::optional<std::size_t>> remove(std::vector<store::Row> entries);
  net::Millis pause() const;

  net::asio::io_context& context_;
  store::TableStore& store_;
  const store::StoreClock& clock_;
  observe::StructuredLog& log_;
  std::function<std::size_t()> nodes_;
  std::function<bool()> full_;
  base::Random random_;
};

}  // namespace sailgate::ledger

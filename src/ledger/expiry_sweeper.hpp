/// @file Removes rows of the ledger whose time is over.
#pragma once

#include <functional>
#include <string>

#include "base/random.hpp"
#include "ledger/expiry_index.hpp"
#include "observe/structured_log.hpp"
#include "store/store_clock.hpp"
#include "store/table_store.hpp"

namespace sailgate::ledger {

/// Looks at parts drawn at random, in the rhythm of ledger/sweep_schedule.hpp. Several nodes may
/// look at one: a row goes only while it has the version that its entry names. Not thread-safe.
class ExpirySweeper {
 public:
  /// @param nodes how many nodes sweep. @param full whether the store refuses writes for want of
  /// space.
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

  /// Sweeps for as long as the event loop runs.
  net::asio::awaitable<void> run();
  /// Removes what has expired in one part. @return rows removed, entries of the index not counted.
  net::asio::awaitable<std::size_t> sweep_part(std::string part);

 private:
  /// What one transaction removes.
  struct Batch {
    store::Transaction transaction;
    std::size_t rows = 0;
  };

  /// Whether a row has the version that its entry names, as far as known.
  using StillTheirs = std::function<bool(const store::RowCondition&)>;

  /// Entries of rows that were written again since go alone.
  static Batch plan(const std::vector<store::Row>& entries, const StillTheirs& still_theirs);
  /// @return rows removed; nullopt when the store did not take it.
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

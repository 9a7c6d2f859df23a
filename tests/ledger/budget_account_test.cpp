#include "ledger/budget_account.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <optional>

using namespace sailgate;
using ledger::BudgetAccount;

namespace {

constexpr std::int64_t kBudget = 900;

/// The stored rows, and writes whose responses were lost and that may still take effect.
struct Store {
  struct Share {
    wire::BudgetRow row;
    std::int64_t version = 0;
  };
  struct Write {
    std::size_t share;
    std::int64_t expected;
    wire::BudgetRow row;
  };

  explicit Store(std::size_t count) : shares(count) {}

  bool apply(const Write& write) {
    auto& share = shares[write.share];
    if (write.expected != share.version) return false;
    share.row = write.row;
    ++share.version;
    return true;
  }

  std::vector<Share> shares;
  std::deque<Write> delayed;
};

/// Outcome of a write to the store from the sender's point of view.
enum class WriteResult { kAcknowledged, kResponseLost, kDelayed, kRefused };

/// @return whether the sender learned that the write succeeded.
bool send(Store& store, BudgetAccount& account, std::size_t index, const wire::BudgetRow& row,
          WriteResult result) {
  const Store::Write write{index, account.version(index), row};
  if (result == WriteResult::kRefused) return false;
  if (result == WriteResult::kDelayed) {
    store.delayed.push_back(write);
    return false;
  }
  const bool done = store.apply(write);
  if (result == WriteResult::kResponseLost) return false;
  const auto& share = store.shares[index];
  if (share.version == 0) {
    account.apply_missing_row(index);
  } else {
    account.apply_stored_row(index, share.row, share.version);
  }
  return done;
}

}  // namespace

TEST_CASE("tokens are usable only after the grant is known to be durable", "[ledger]") {
  BudgetAccount account(1);
  REQUIRE_FALSE(account.reserve(100));
  const auto row = account.plan_grant(0, 100, kBudget);
  REQUIRE(row);
  REQUIRE_FALSE(account.reserve(100));
  account.apply_stored_row(0, *row, 1);
  REQUIRE(account.reserve(100));
}

TEST_CASE("a grant leaves tokens for other holders while enough of the budget remains",
          "[ledger]") {
  BudgetAccount account(1);
  const auto row = account.plan_grant(0, 100, 10'000);
  REQUIRE(row->granted.at(1) <= 5000);
  REQUIRE(row->granted.at(1) >= 100);
}

TEST_CASE("the last tokens can be granted, and one more cannot", "[ledger]") {
  BudgetAccount account(1);
  wire::BudgetRow row;
  row.granted[2] = kBudget - 100;
  account.apply_stored_row(0, row, 5);
  REQUIRE(account.plan_grant(0, 100, kBudget));
  REQUIRE_FALSE(account.plan_grant(0, 101, kBudget));
}

TEST_CASE("tokens that a turn did not use can be reserved again", "[ledger]") {
  BudgetAccount account(1);
  account.apply_stored_row(0, *account.plan_grant(0, kBudget, kBudget), 1);
  REQUIRE(account.reserve(kBudget));
  REQUIRE_FALSE(account.reserve(1));
  account.settle(kBudget, 300);
  REQUIRE(account.available() == kBudget - 300);
}

TEST_CASE("released tokens cannot be used once the release has started", "[ledger]") {
  BudgetAccount account(1);
  account.apply_stored_row(0, *account.plan_grant(0, 400, kBudget), 1);
  REQUIRE(account.reserve(100));
  const auto row = account.begin_release(0);
  REQUIRE(row->granted.at(1) == 100);
  REQUIRE_FALSE(account.reserve(1));
  account.apply_stored_row(0, *row, 2);
  account.settle(100, 100);
  REQUIRE_FALSE(account.begin_release(0));
}

TEST_CASE("an entry that this object did not write counts as spent", "[ledger]") {
  BudgetAccount account(1);
  wire::BudgetRow row;
  row.granted[1] = 500;
  account.apply_stored_row(0, row, 9);
  REQUIRE(account.available() <= 0);
  REQUIRE_FALSE(account.plan_grant(0, 401, kBudget));
}

TEST_CASE("tokens used by a retired account count as spent and the others are released",
          "[ledger]") {
  BudgetAccount account(1);
  account.apply_stored_row(0, *account.plan_grant(0, 400, kBudget), 1);
  REQUIRE(account.reserve(100));
  REQUIRE_FALSE(account.begin_retirement(0));
  account.settle(100, 60);
  const auto row = account.begin_retirement(0);
  REQUIRE(row);
  REQUIRE_FALSE(account.reserve(1));
  BudgetAccount again(1);
  again.apply_stored_row(0, *row, 2);
  REQUIRE(again.other_holders().empty());
  REQUIRE(again.plan_grant(0, kBudget - 60, kBudget));
  REQUIRE_FALSE(again.plan_grant(0, kBudget - 59, kBudget));
}

TEST_CASE("settling a reservation twice does not free tokens", "[ledger]") {
  BudgetAccount account(1);
  account.apply_stored_row(0, *account.plan_grant(0, kBudget, kBudget), 1);
  REQUIRE(account.reserve(100));
  account.settle(100, 50);
  account.settle(100, 50);
  REQUIRE(account.available() == kBudget - 100);
}

TEST_CASE("a turn may draw on both shares but not exceed the budget", "[ledger]") {
  BudgetAccount account(1, 2);
  const auto first = account.plan_grant(0, 600, kBudget);
  REQUIRE(first->granted.at(1) == 450);
  account.apply_stored_row(0, *first, 1);
  REQUIRE_FALSE(account.reserve(600));
  const auto second = account.plan_grant(1, 600, kBudget);
  account.apply_stored_row(1, *second, 2);
  REQUIRE(account.reserve(600));
  REQUIRE(account.can_hold(300, kBudget));
  REQUIRE_FALSE(account.can_hold(301, kBudget));
  REQUIRE_FALSE(account.plan_grant(1, 301, kBudget));
}

TEST_CASE("shares of an odd budget add up to it", "[ledger]") {
  constexpr std::int64_t kOdd = 901;
  BudgetAccount account(1, 2);
  account.apply_stored_row(0, *account.plan_grant(0, kOdd, kOdd), 1);
  account.apply_stored_row(1, *account.plan_grant(1, kOdd, kOdd), 2);
  REQUIRE(account.available() == kOdd);
}

TEST_CASE("unused tokens are released from every share", "[ledger]") {
  BudgetAccount account(1, 2);
  account.apply_stored_row(0, *account.plan_grant(0, kBudget, kBudget), 1);
  account.apply_stored_row(1, *account.plan_grant(1, kBudget, kBudget), 2);
  REQUIRE(account.reserve(500));
  REQUIRE_FALSE(account.begin_release(0));
  const auto row = account.begin_release(1);
  REQUIRE(row->granted.at(1) == 50);
  REQUIRE_FALSE(account.reserve(1));
}

TEST_CASE("a retired account counts each token once over its shares", "[ledger]") {
  BudgetAccount account(1, 2);
  account.apply_stored_row(0, *account.plan_grant(0, kBudget, kBudget), 1);
  account.apply_stored_row(1, *account.plan_grant(1, kBudget, kBudget), 2);
  REQUIRE(account.reserve(600));
  account.settle(600, 500);
  const auto first = account.begin_retirement(0);
  account.apply_stored_row(0, *first, 3);
  const auto second = account.begin_retirement(1);
  account.apply_stored_row(1, *second, 4);
  BudgetAccount again(1, 2);
  again.apply_stored_row(0, *first, 3);
  again.apply_stored_row(1, *second, 4);
  REQUIRE(again.can_hold(kBudget - 500, kBudget));
  REQUIRE_FALSE(again.can_hold(kBudget - 499, kBudget));
}

TEST_CASE("holders together never spend more than the budget", "[ledger][fuzz]") {
  const bool held = rc::check("budget holds over lost, late and refused writes", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 4);
    Store store(count);
    std::vector<BudgetAccount> accounts;
    std::vector<std::deque<std::int64_t>> reservations(3);
    std::int64_t spent = 0;
    std::int64_t next_holder = 1;
    std::vector<std::int64_t> holders{1, 2, 3};
    for (int i = 0; i < 3; ++i) accounts.emplace_back(next_holder++, count);
    const auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const auto who = *rc::gen::inRange<std::size_t>(0, 3);
      const auto share = *rc::gen::inRange<std::size_t>(0, count);
      auto& account = accounts[who];
      const auto result = static_cast<WriteResult>(
          *rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {1, 2}, {1, 3}}));
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1: {
          const auto tokens = *rc::gen::inRange<std::int64_t>(1, 300);
          if (account.reserve(tokens)) {
            reservations[who].push_back(tokens);
          } else if (const auto row = account.plan_grant(share, tokens, kBudget)) {
            send(store, account, share, *row, result);
          }
          break;
        }
        case 2: {
          if (reservations[who].empty()) break;
          const auto reserved = reservations[who].front();
          reservations[who].pop_front();
          const auto used = *rc::gen::inRange<std::int64_t>(0, reserved + 1);
          account.settle(reserved, used);
          spent += used;
          break;
        }
        case 3:
          if (const auto row = account.begin_release(share)) {
            send(store, account, share, *row, result);
          }
          break;
        case 4:
          if (!store.delayed.empty()) {
            store.apply(store.delayed.front());
            store.delayed.pop_front();
          }
          break;
        case 6: {
          // The program is evicted from memory and later used again by the same process.
          bool retired = true;
          for (std::size_t each = 0; each < count; ++each) {
            const auto row = account.begin_retirement(each);
            if (row) retired = send(store, account, each, *row, result) && retired;
          }
          if (retired && account.idle()) account = BudgetAccount(holders[who], count);
          break;
        }
        case 5:
          if (*rc::gen::inRange(0, 5) != 0) break;
          // The process dies: its open reservations count as fully spent.
          for (const auto tokens : reservations[who]) spent += tokens;
          reservations[who].clear();
          holders[who] = next_holder;
          account = BudgetAccount(next_holder++, count);
          break;
      }
      std::int64_t open = 0;
      for (const auto& queue : reservations) {
        for (const auto tokens : queue) open += tokens;
      }
      RC_ASSERT(spent + open <= kBudget);
    }
  });
  REQUIRE(held);
}

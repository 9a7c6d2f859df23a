#include "ledger/budget_account.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <optional>

using namespace sailgate;
using ledger::BudgetAccount;

namespace {

constexpr std::int64_t kBudget = 900;

/// The row in the store, and writes whose answers were lost and that may still be done.
struct Store {
  struct Write {
    std::int64_t expected;
    wire::BudgetRow row;
  };

  wire::BudgetRow row;
  std::int64_t version = 0;
  std::deque<Write> late;

  bool apply(const Write& write) {
    if (write.expected != version) return false;
    row = write.row;
    ++version;
    return true;
  }
};

/// How a write to the store ends for the one who sent it.
enum class Fate { kAnswered, kAnswerLost, kLate, kRefused };

void send(Store& store, BudgetAccount& account, const wire::BudgetRow& row, Fate fate) {
  const Store::Write write{account.version(), row};
  if (fate == Fate::kRefused) return;
  if (fate == Fate::kLate) {
    store.late.push_back(write);
    return;
  }
  const bool done = store.apply(write);
  if (fate == Fate::kAnswerLost) return;
  if (done) {
    account.adopt(row, store.version);
  } else if (store.version == 0) {
    account.adopt_absent();
  } else {
    account.adopt(store.row, store.version);
  }
}

}  // namespace

TEST_CASE("tokens are usable only after the grant is known to be durable", "[ledger]") {
  BudgetAccount account(1);
  REQUIRE_FALSE(account.reserve(100));
  const auto row = account.plan_grant(100, kBudget);
  REQUIRE(row);
  REQUIRE_FALSE(account.reserve(100));
  account.adopt(*row, 1);
  REQUIRE(account.reserve(100));
}

TEST_CASE("a grant leaves tokens for others while the budget is ample", "[ledger]") {
  BudgetAccount account(1);
  const auto row = account.plan_grant(100, 10'000);
  REQUIRE(row->granted.at(1) <= 5000);
  REQUIRE(row->granted.at(1) >= 100);
}

TEST_CASE("the last tokens can be granted, and one more cannot", "[ledger]") {
  BudgetAccount account(1);
  wire::BudgetRow row;
  row.granted[2] = kBudget - 100;
  account.adopt(row, 5);
  REQUIRE(account.plan_grant(100, kBudget));
  REQUIRE_FALSE(account.plan_grant(101, kBudget));
}

TEST_CASE("what a turn did not use can be reserved again", "[ledger]") {
  BudgetAccount account(1);
  account.adopt(*account.plan_grant(kBudget, kBudget), 1);
  REQUIRE(account.reserve(kBudget));
  REQUIRE_FALSE(account.reserve(1));
  account.settle(kBudget, 300);
  REQUIRE(account.available() == kBudget - 300);
}

TEST_CASE("tokens that are given back are out of use before the write", "[ledger]") {
  BudgetAccount account(1);
  account.adopt(*account.plan_grant(400, kBudget), 1);
  REQUIRE(account.reserve(100));
  const auto row = account.begin_release();
  REQUIRE(row->granted.at(1) == 100);
  REQUIRE_FALSE(account.reserve(1));
  account.adopt(*row, 2);
  account.settle(100, 100);
  REQUIRE_FALSE(account.begin_release());
}

TEST_CASE("an entry that this object did not write counts as spent", "[ledger]") {
  BudgetAccount account(1);
  wire::BudgetRow row;
  row.granted[1] = 500;
  account.adopt(row, 9);
  REQUIRE(account.available() <= 0);
  REQUIRE_FALSE(account.plan_grant(401, kBudget));
}

TEST_CASE("a retired account's tokens count as spent, and the rest is free", "[ledger]") {
  BudgetAccount account(1);
  account.adopt(*account.plan_grant(400, kBudget), 1);
  REQUIRE(account.reserve(100));
  REQUIRE_FALSE(account.begin_retirement());
  account.settle(100, 60);
  const auto row = account.begin_retirement();
  REQUIRE(row);
  REQUIRE_FALSE(account.reserve(1));
  BudgetAccount again(1);
  again.adopt(*row, 2);
  REQUIRE(again.other_holders().empty());
  REQUIRE(again.plan_grant(kBudget - 60, kBudget));
  REQUIRE_FALSE(again.plan_grant(kBudget - 59, kBudget));
}

TEST_CASE("a settlement that is told twice does not free tokens", "[ledger]") {
  BudgetAccount account(1);
  account.adopt(*account.plan_grant(kBudget, kBudget), 1);
  REQUIRE(account.reserve(100));
  account.settle(100, 50);
  account.settle(100, 50);
  REQUIRE(account.available() == kBudget - 100);
}

TEST_CASE("holders together never spend more than the budget", "[ledger][fuzz]") {
  const bool held = rc::check("budget holds over lost, late and refused writes", [] {
    Store store;
    std::vector<BudgetAccount> accounts;
    std::vector<std::deque<std::int64_t>> reservations(3);
    std::int64_t spent = 0;
    std::int64_t next_holder = 1;
    std::vector<std::int64_t> holders{1, 2, 3};
    for (int i = 0; i < 3; ++i) accounts.emplace_back(next_holder++);
    const auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const auto who = *rc::gen::inRange<std::size_t>(0, 3);
      auto& account = accounts[who];
      const auto fate =
          static_cast<Fate>(*rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {1, 2}, {1, 3}}));
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1: {
          const auto tokens = *rc::gen::inRange<std::int64_t>(1, 300);
          if (account.reserve(tokens)) {
            reservations[who].push_back(tokens);
          } else if (const auto row = account.plan_grant(tokens, kBudget)) {
            send(store, account, *row, fate);
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
          if (const auto row = account.begin_release()) send(store, account, *row, fate);
          break;
        case 4:
          if (!store.late.empty()) {
            store.apply(store.late.front());
            store.late.pop_front();
          }
          break;
        case 6: {
          // The program is forgotten, and comes back to the same process.
          const auto row = account.begin_retirement();
          if (!row) break;
          const auto before = account.version();
          send(store, account, *row, fate);
          if (account.version() > before && store.row == *row)
            account = BudgetAccount(holders[who]);
          break;
        }
        case 5:
          if (*rc::gen::inRange(0, 5) != 0) break;
          // The process dies: its open reservations count as handed out whole.
          for (const auto tokens : reservations[who]) spent += tokens;
          reservations[who].clear();
          holders[who] = next_holder;
          account = BudgetAccount(next_holder++);
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

#include "node/blocking_update.hpp"

#include <chrono>
#include <thread>

namespace sailgate::node {

using Kind = store::OptimisticUpdate::Step::Kind;

base::Millis monotonic_now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool run_update(store::BlockingStore& store, store::OptimisticUpdate& update, net::Millis timeout) {
  auto step = update.start();
  while (step.kind != Kind::kDone) {
    if (step.wait > 0) std::this_thread::sleep_for(net::Millis(step.wait));
    if (step.kind == Kind::kRead) {
      auto result = store.read(std::move(step.read), timeout);
      step = update.on_read(std::move(result), monotonic_now());
    } else {
      const auto result = store.transact(std::move(step.write), timeout);
      step = update.on_write(result, monotonic_now());
    }
  }
  return step.decided;
}

}  // namespace sailgate::node

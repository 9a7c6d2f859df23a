#include "store/store_clock.hpp"

namespace sailgate::store {

void StoreClock::observe(std::int64_t store_ms, net::TimePoint received_at) {
  if (store_ms <= 0) return;
  store_ms_ = store_ms;
  received_at_ = received_at;
}

std::optional<std::int64_t> StoreClock::now(net::TimePoint local) const {
  if (store_ms_ == 0) return std::nullopt;
  return store_ms_ + std::chrono::duration_cast<net::Millis>(local - received_at_).count();
}

}  // namespace sailgate::store

/// @file Carries out the steps of a store::OptimisticUpdate on the calling thread.
#pragma once

#include "base/time.hpp"
#include "store/blocking_store.hpp"
#include "store/optimistic_update.hpp"

namespace sailgate::node {

/// Blocks until the update is over. @param timeout for each call to the store.
/// @return whether the decision holds; false: nobody could tell in time.
bool run_update(store::BlockingStore& store, store::OptimisticUpdate& update, net::Millis timeout);

/// Milliseconds of the monotonic clock, which updates are timed by.
base::Millis monotonic_now();

}  // namespace sailgate::node

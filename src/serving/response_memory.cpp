#include "serving/response_memory.hpp"

#include <algorithm>
#include <utility>

namespace sailgate::serving {

ResponseMemory::Share::Share(std::shared_ptr<ResponseMemory> memory, std::function<void()> give_up)
    : memory_(std::move(memory)), give_up_(std::move(give_up)) {
  memory_->shares_.insert(this);
}

ResponseMemory::Share::~Share() {
  memory_->bytes_ -= bytes_;
  memory_->shares_.erase(this);
}

bool ResponseMemory::Share::resize(std::size_t bytes) {
  if (given_up_) return false;
  memory_->bytes_ += bytes - bytes_;
  bytes_ = bytes;
  memory_->enforce_limit(*this);
  memory_->peak_ = std::max(memory_->peak_, memory_->bytes_);
  return !given_up_;
}

ResponseMemory::Share* ResponseMemory::largest_unfinished() const {
  Share* largest = nullptr;
  for (auto* share : shares_) {
    if (share->complete_ || share->given_up_) continue;
    if (largest == nullptr || share->bytes_ > largest->bytes_) largest = share;
  }
  return largest;
}

void ResponseMemory::enforce_limit(const Share& growing) {
  while (bytes_ > limit_) {
    auto* largest = largest_unfinished();
    if (largest == nullptr) return;
    largest->given_up_ = true;
    bytes_ -= largest->bytes_;
    largest->bytes_ = 0;
    if (largest != &growing) largest->give_up_();
  }
}

}  // namespace sailgate::serving

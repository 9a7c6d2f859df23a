#include "balancing/prompt_demand.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace sailgate::balancing {

namespace {

constexpr unsigned kPromptBits = 24;
constexpr std::uint32_t kPromptMask = (1U << kPromptBits) - 1;

std::uint32_t service_bits(const std::string& service) {
  const auto digest = static_cast<std::uint32_t>(XXH64(service.data(), service.size(), 0));
  return digest & ~kPromptMask;
}

}  // namespace

std::int32_t prompt_key(const std::string& service, const std::string& prompt) {
  const auto digest = static_cast<std::uint32_t>(XXH64(prompt.data(), prompt.size(), 0));
  return static_cast<std::int32_t>(service_bits(service) | (digest & kPromptMask));
}

bool is_prompt_of(std::int32_t key, const std::string& service) {
  return (static_cast<std::uint32_t>(key) & ~kPromptMask) == service_bits(service);
}

std::int64_t PromptDemand::slice_index(net::TimePoint now) {
  constexpr auto kSliceLength = kWindow / static_cast<int>(kSlices);
  const auto since = std::chrono::duration_cast<net::Millis>(now.time_since_epoch());
  return since.count() / kSliceLength.count();
}

void PromptDemand::note(std::int32_t prompt, std::int64_t tokens, net::TimePoint now) {
  const auto index = slice_index(now);
  auto& slice = slices_.at(static_cast<std::size_t>(index) % kSlices);
  if (slice.index != index) slice = {index, {}};
  if (slice.prompts.size() >= kMaxPromptsPerSlice && slice.prompts.count(prompt) == 0) return;
  auto& entry = slice.prompts[prompt];
  ++entry.requests;
  entry.tokens = tokens;
}

PromptDemand::Prompts PromptDemand::counts_in_window(net::TimePoint now) const {
  const auto newest = slice_index(now);
  Prompts sum;
  for (const auto& slice : slices_) {
    if (slice.index <= newest - static_cast<std::int64_t>(kSlices)) continue;
    for (const auto& [key, prompt] : slice.prompts) {
      auto& entry = sum[key];
      entry.requests += prompt.requests;
      entry.tokens = std::max(entry.tokens, prompt.tokens);
    }
  }
  return sum;
}

PromptCounts PromptDemand::told(net::TimePoint now) const {
  std::vector<std::pair<std::int32_t, std::int32_t>> by_requests;
  for (const auto& [key, prompt] : counts_in_window(now)) {
    by_requests.emplace_back(prompt.requests, key);
  }
  std::sort(by_requests.rbegin(), by_requests.rend());
  if (by_requests.size() > kMaxReportedPrompts) by_requests.resize(kMaxReportedPrompts);
  PromptCounts counts;
  for (const auto& [requests, key] : by_requests) counts[key] = requests;
  return counts;
}

double PromptDemand::mean_tokens(const std::string& service, net::TimePoint now) const {
  std::int64_t tokens = 0;
  int prompts = 0;
  for (const auto& [key, prompt] : counts_in_window(now)) {
    if (!is_prompt_of(key, service)) continue;
    tokens += prompt.tokens;
    ++prompts;
  }
  return prompts == 0 ? 0 : static_cast<double>(tokens) / prompts;
}

}  // namespace sailgate::balancing

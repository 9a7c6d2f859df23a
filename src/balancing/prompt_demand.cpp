#include "balancing/prompt_demand.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace sailgate::balancing {

namespace {

constexpr unsigned kPromptBits = 24;
constexpr std::uint32_t kPromptMask = (1U << kPromptBits) - 1;

std::uint32_t service_part(const std::string& service) {
  const auto digest = static_cast<std::uint32_t>(XXH64(service.data(), service.size(), 0));
  return digest & ~kPromptMask;
}

}  // namespace

std::int32_t prompt_key(const std::string& service, const std::string& prompt) {
  const auto digest = static_cast<std::uint32_t>(XXH64(prompt.data(), prompt.size(), 0));
  return static_cast<std::int32_t>(service_part(service) | (digest & kPromptMask));
}

bool is_prompt_of(std::int32_t key, const std::string& service) {
  return (static_cast<std::uint32_t>(key) & ~kPromptMask) == service_part(service);
}

std::int64_t PromptDemand::part_number(net::TimePoint now) {
  constexpr auto kPart = kWindow / static_cast<int>(kParts);
  const auto since = std::chrono::duration_cast<net::Millis>(now.time_since_epoch());
  return since.count() / kPart.count();
}

void PromptDemand::note(std::int32_t prompt, std::int64_t tokens, net::TimePoint now) {
  const auto number = part_number(now);
  auto& part = parts_.at(static_cast<std::size_t>(number) % kParts);
  if (part.number != number) part = {number, {}};
  if (part.prompts.size() >= kMostInPart && part.prompts.count(prompt) == 0) return;
  auto& entry = part.prompts[prompt];
  ++entry.requests;
  entry.tokens = tokens;
}

PromptDemand::Prompts PromptDemand::within_window(net::TimePoint now) const {
  const auto newest = part_number(now);
  Prompts sum;
  for (const auto& part : parts_) {
    if (part.number <= newest - static_cast<std::int64_t>(kParts)) continue;
    for (const auto& [key, prompt] : part.prompts) {
      auto& entry = sum[key];
      entry.requests += prompt.requests;
      entry.tokens = std::max(entry.tokens, prompt.tokens);
    }
  }
  return sum;
}

PromptCounts PromptDemand::told(net::TimePoint now) const {
  std::vector<std::pair<std::int32_t, std::int32_t>> by_requests;
  for (const auto& [key, prompt] : within_window(now)) {
    by_requests.emplace_back(prompt.requests, key);
  }
  std::sort(by_requests.rbegin(), by_requests.rend());
  if (by_requests.size() > kMostTold) by_requests.resize(kMostTold);
  PromptCounts counts;
  for (const auto& [requests, key] : by_requests) counts[key] = requests;
  return counts;
}

double PromptDemand::mean_tokens(const std::string& service, net::TimePoint now) const {
  std::int64_t tokens = 0;
  int prompts = 0;
  for (const auto& [key, prompt] : within_window(now)) {
    if (!is_prompt_of(key, service)) continue;
    tokens += prompt.tokens;
    ++prompts;
  }
  return prompts == 0 ? 0 : static_cast<double>(tokens) / prompts;
}

}  // namespace sailgate::balancing

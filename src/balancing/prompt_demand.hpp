/// @file Recent request counts per shared prompt.
///
/// Demand differs widely between prompts: one that starts a fifth of all requests needs more
/// engines than one that is requested once a second.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Request counts by prompt_key().
using PromptCounts = std::map<std::int32_t, std::int32_t>;

/// Identifies a service's shared prompt in messages between nodes. Two prompts whose keys collide
/// share their engines, which costs an occasional prefill.
std::int32_t prompt_key(const std::string& service, const std::string& prompt);
/// Whether the key belongs to a prompt of the service, or of one whose name has the same 8-bit
/// hash.
bool is_prompt_of(std::int32_t key, const std::string& service);

/// Counts this node's own requests in a sliding window. Bounded, deterministic, not thread-safe.
class PromptDemand {
 public:
  /// Long enough to count a prompt with a few requests per second reliably, short enough to add
  /// engines for a prompt with rising demand before a queue of several seconds builds up.
  static constexpr net::Millis kWindow{5000};
  /// Limit of prompts reported to other nodes. Less frequent prompts get the minimum number of
  /// engines anyway.
  static constexpr std::size_t kMaxReportedPrompts = 32;

  /// Records a request that begins with the prompt.
  /// @param tokens of the shared prompt.
  void note(std::int32_t prompt, std::int64_t tokens, net::TimePoint now);
  /// The most frequent prompts within the window, at most kMaxReportedPrompts, to be reported to
  /// other nodes.
  PromptCounts told(net::TimePoint now) const;
  /// Mean size of the service's prompts within the window; 0 if there are none.
  double mean_tokens(const std::string& service, net::TimePoint now) const;

 private:
  struct Prompt {
    std::int32_t requests = 0;
    std::int64_t tokens = 0;
  };
  using Prompts = std::map<std::int32_t, Prompt>;
  /// Requests of one time slice of the window.
  struct Slice {
    std::int64_t index = -1;  ///< index of the slice since the clock's epoch
    Prompts prompts;
  };

  static constexpr std::size_t kSlices = 10;
  /// Limit of prompts per slice; otherwise prompts that are not shared would fill the memory.
  static constexpr std::size_t kMaxPromptsPerSlice = 1024;

  static std::int64_t slice_index(net::TimePoint now);
  Prompts counts_in_window(net::TimePoint now) const;

  std::array<Slice, kSlices> slices_;
};

}  // namespace sailgate::balancing

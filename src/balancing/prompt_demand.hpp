/// @file How many requests of late begin with each shared prompt.
///
/// Answers prompts of very different demand: one that a fifth of all requests begin with needs more
/// engines than one that is asked for once a second.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Requests by prompt_key().
using PromptCounts = std::map<std::int32_t, std::int32_t>;

/// Names a shared prompt of a service in the messages of nodes. Two prompts with the same key share
/// their engines, which costs a reading now and then.
std::int32_t prompt_key(const std::string& service, const std::string& prompt);
/// Whether the key is of a prompt of the service, or of one whose name has the same 8-bit digest.
bool is_prompt_of(std::int32_t key, const std::string& service);

/// This node's own requests. Bounded, deterministic, not thread-safe.
class PromptDemand {
 public:
  /// Long enough that a prompt asked for a few times a second is counted well, short enough that a
  /// prompt whose demand rises has its engines before a queue of several seconds stands there.
  static constexpr net::Millis kWindow{5000};
  /// Prompts told to other nodes: what is asked for less often needs the fewest engines anyway.
  static constexpr std::size_t kMostTold = 32;

  /// A request that begins with the prompt came in. @param tokens of the shared prompt.
  void note(std::int32_t prompt, std::int64_t tokens, net::TimePoint now);
  /// The prompts asked for most often within the window, at most kMostTold.
  PromptCounts told(net::TimePoint now) const;
  /// Mean size of a service's prompts of the window; 0: none.
  double mean_tokens(const std::string& service, net::TimePoint now) const;

 private:
  struct Prompt {
    std::int32_t requests = 0;
    std::int64_t tokens = 0;
  };
  using Prompts = std::map<std::int32_t, Prompt>;
  /// Requests of one part of the window.
  struct Part {
    std::int64_t number = -1;  ///< counted from the clock's start
    Prompts prompts;
  };

  static constexpr std::size_t kParts = 10;
  /// A part holds no more prompts: prompts that nobody shares would fill memory.
  static constexpr std::size_t kMostInPart = 1024;

  static std::int64_t part_number(net::TimePoint now);
  Prompts within_window(net::TimePoint now) const;

  std::array<Part, kParts> parts_;
};

}  // namespace sailgate::balancing

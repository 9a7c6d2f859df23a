#include "ledger/turn.hpp"

#include <algorithm>
#include <vector>

namespace sailgate::ledger {

std::string assemble_prompt(const TurnPointer& previous, const std::string& input) {
  std::vector<const Turn*> chain;
  std::size_t size = input.size();
  for (const Turn* turn = previous.get(); turn != nullptr; turn = turn->previous.get()) {
    chain.push_back(turn);
    size += turn->input.size() + turn->output.size();
  }
  std::string prompt;
  prompt.reserve(size);
  for (auto turn = chain.rbegin(); turn != chain.rend(); ++turn) {
    prompt += (*turn)->input;
    prompt += (*turn)->output;
  }
  prompt += input;
  return prompt;
}

}  // namespace sailgate::ledger

#include "support/run.hpp"

#include <stdexcept>
#include <string>

namespace sailgate::test {

bool Wait::step() {
  if (events_ >= bounds_.events) {
    end_ = WaitEnd::kEventsUsedUp;
    return false;
  }
  context_.restart();
  if (context_.run_one_for(bounds_.without_event) > 0) {
    ++events_;
    return true;
  }
  end_ = context_.stopped() ? WaitEnd::kNothingLeft : WaitEnd::kNoEvent;
  return false;
}

void Wait::fail() const {
  const auto time = std::chrono::duration_cast<net::Millis>(net::Clock::now() - start_);
  std::string text = "the awaited state was not reached: " + std::to_string(events_) +
                     " events ran in " + std::to_string(time.count()) + " ms, ";
  switch (end_) {
    case WaitEnd::kEventsUsedUp:
      text += "all that a wait may use";
      break;
    case WaitEnd::kNoEvent:
      text += "none in the last " + std::to_string(bounds_.without_event.count()) + " ms";
      break;
    case WaitEnd::kNothingLeft:
      text += "and nothing was left to run";
      break;
  }
  throw std::runtime_error(text);
}

}  // namespace sailgate::test

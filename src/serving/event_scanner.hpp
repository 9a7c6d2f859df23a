/// @file Splits a text/event-stream into whole events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sailgate::serving {

/// One event with its terminating blank line.
struct StreamEvent {
  std::string text;  ///< as received
  std::string id;    ///< empty when the event has none
  std::string data;  ///< data lines, joined by line feeds
};

/// Incremental; keeps the bytes of an unfinished event.
class EventScanner {
 public:
  /// @return the events that `bytes` completed.
  std::vector<StreamEvent> feed(std::string_view bytes);
  /// Whether the stream would end in the middle of an event.
  bool has_partial_event() const { return !pending_.empty(); }

 private:
  std::string pending_;
  std::size_t scanned_ = 0;  ///< start of the first line of pending_ that was not seen whole
};

}  // namespace sailgate::serving

/// @file Splits a text/event-stream into complete events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sailgate::serving {

/// One server-sent event.
struct StreamEvent {
  std::string text;  ///< as received, with the terminating blank line
  std::string id;    ///< empty if the event has none
  std::string data;  ///< values of the data fields, joined by line feeds
};

/// Incremental parser; buffers the bytes of an incomplete event.
class EventScanner {
 public:
  /// @return the events completed by `bytes`.
  std::vector<StreamEvent> feed(std::string_view bytes);
  /// Whether bytes of an incomplete event are buffered.
  bool has_partial_event() const { return !pending_.empty(); }
  std::size_t partial_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
  std::size_t scanned_ = 0;   ///< offset in pending_ of the first incomplete line
  std::size_t searched_ = 0;  ///< bytes of pending_ without a line end after `scanned_`
};

}  // namespace sailgate::serving

#include "serving/event_scanner.hpp"

namespace sailgate::serving {

namespace {

std::string_view strip_carriage_return(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

/// Value of a field line "name: value", without one leading space.
std::string_view field_value(std::string_view line, std::size_t colon) {
  if (colon == std::string_view::npos) return {};
  auto value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  return value;
}

StreamEvent parse_event(std::string text) {
  StreamEvent event;
  bool first_data = true;
  std::size_t start = 0;
  while (start < text.size()) {
    const auto end = text.find('\n', start);
    const auto line = strip_carriage_return(std::string_view(text).substr(start, end - start));
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (name == "id") event.id = field_value(line, colon);
    if (name == "data") {
      if (!first_data) event.data += '\n';
      event.data += field_value(line, colon);
      first_data = false;
    }
    start = end + 1;
  }
  event.text = std::move(text);
  return event;
}

}  // namespace

std::vector<StreamEvent> EventScanner::feed(std::string_view bytes) {
  pending_.append(bytes);
  std::vector<StreamEvent> events;
  auto line_end = pending_.find('\n', searched_);
  while (line_end != std::string::npos) {
    const auto line =
        strip_carriage_return(std::string_view(pending_).substr(scanned_, line_end - scanned_));
    const bool blank = line.empty();
    scanned_ = line_end + 1;
    if (blank) {
      events.push_back(parse_event(pending_.substr(0, scanned_)));
      pending_.erase(0, scanned_);
      scanned_ = 0;
    }
    line_end = pending_.find('\n', scanned_);
  }
  searched_ = pending_.size();
  return events;
}

}  // namespace sailgate::serving

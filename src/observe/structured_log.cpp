#include "observe/structured_log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace sailgate::observe {

namespace {

/// A pipe that is ready for writing takes this many bytes without blocking (POSIX PIPE_BUF).
constexpr std::size_t kSlice = 4096;
constexpr unsigned char kFirstPrintable = 0x20;

std::int64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void append_escaped(std::string& text, std::string_view value) {
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (byte < kFirstPrintable || byte >= 0x7F) {
      char code[8];
      std::snprintf(code, sizeof(code), "\\u%04x", byte);
      text += code;
    } else {
      text += c;
    }
  }
}

bool writable(int descriptor) {
  pollfd query{descriptor, POLLOUT, 0};
  return ::poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
}

}  // namespace

StructuredLog::Line::Line(StructuredLog& log, std::string_view event) : log_(log) {
  text_ = "{\"time_ms\":" + std::to_string(wall_clock_ms()) + ",\"event\":\"";
  text_.append(event);
  text_ += '"';
}

StructuredLog::Line::~Line() {
  text_ += "}\n";
  log_.append(text_);
}

StructuredLog::Line& StructuredLog::Line::with(std::string_view name, std::string_view value) {
  text_ += ",\"";
  text_.append(name);
  text_ += "\":\"";
  append_escaped(text_, value);
  text_ += '"';
  return *this;
}

StructuredLog::Line& StructuredLog::Line::with_raw(std::string_view name, std::string_view value) {
  text_ += ",\"";
  text_.append(name);
  text_ += "\":";
  text_.append(value);
  return *this;
}

void StructuredLog::append(std::string_view line) {
  if (waiting_.size() + line.size() > capacity_) {
    ++dropped_;
    return;
  }
  waiting_.append(line);
}

void StructuredLog::flush() {
  std::size_t written = 0;
  while (written < waiting_.size() && writable(descriptor_)) {
    const auto length = std::min(kSlice, waiting_.size() - written);
    const auto taken = ::write(descriptor_, waiting_.data() + written, length);
    if (taken <= 0) break;
    written += static_cast<std::size_t>(taken);
  }
  waiting_.erase(0, written);
  if (waiting_.empty() && dropped_ > reported_dropped_) {
    const auto lost = dropped_ - reported_dropped_;
    reported_dropped_ = dropped_;
    event("log_lines_dropped").with("count", lost);
  }
}

}  // namespace sailgate::observe

#include "observe/structured_log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace sailgate::observe {

namespace {

/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t kMaxWriteBytes = 4096;
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
  if (buffer_.size() + line.size() > capacity_) {
    ++dropped_;
    return;
  }
  buffer_.append(line);
}

void StructuredLog::flush() {
  std::size_t written = 0;
  while (written < buffer_.size() && writable(descriptor_)) {
    const auto length = std::min(kMaxWriteBytes, buffer_.size() - written);
    const auto bytes_written = ::write(descriptor_, buffer_.data() + written, length);
    if (bytes_written <= 0) break;
    written += static_cast<std::size_t>(bytes_written);
  }
  buffer_.erase(0, written);
  if (buffer_.empty() && dropped_ > reported_dropped_) {
    const auto newly_dropped = dropped_ - reported_dropped_;
    reported_dropped_ = dropped_;
    event("log_lines_dropped").with("count", newly_dropped);
  }
}

}  // namespace sailgate::observe

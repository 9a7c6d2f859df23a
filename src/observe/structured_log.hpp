/// @file Structured log in JSON Lines format.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace sailgate::observe {

/// Bounded, non-blocking log. Lines are buffered in memory and written by flush(); lines that
/// exceed the buffer's capacity are dropped and counted. Not thread-safe: the event loop owns it.
class StructuredLog {
 public:
  /// Builder of one line; the destructor appends the line to the log.
  class Line {
   public:
    Line(StructuredLog& log, std::string_view event);
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    ~Line();

    Line& with(std::string_view name, std::string_view value);
    Line& with(std::string_view name, const char* value) {
      return with(name, std::string_view(value));
    }
    Line& with(std::string_view name, const std::string& value) {
      return with(name, std::string_view(value));
    }
    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    Line& with(std::string_view name, Number value) {
      return with_raw(name, std::to_string(value));
    }

   private:
    Line& with_raw(std::string_view name, std::string_view value);

    StructuredLog& log_;
    std::string text_;
  };

  /// @param descriptor output file descriptor. @param capacity maximum number of buffered bytes.
  explicit StructuredLog(int descriptor, std::size_t capacity = kDefaultCapacity)
      : descriptor_(descriptor), capacity_(capacity) {}

  /// Starts a line. @param name stable event name, listed in docs/OPERATIONS.md.
  Line event(std::string_view name) { return {*this, name}; }

  /// Writes as much as the descriptor accepts without blocking.
  void flush();

  std::uint64_t dropped() const { return dropped_; }

 private:
  static constexpr std::size_t kDefaultCapacity = std::size_t{256} << 10U;

  void append(std::string_view line);

  int descriptor_;
  std::size_t capacity_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace sailgate::observe

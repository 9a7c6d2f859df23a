/// @file Structured log on standard output: one JSON object a line.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace sailgate::observe {

/// Bounded, non-blocking log. Lines are gathered in memory and written by flush(); what does not
/// fit is dropped and counted. Not thread-safe: the event loop owns it.
class StructuredLog {
 public:
  /// One line under construction; it joins the log when it goes out of scope.
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

  /// @param descriptor where lines go. @param capacity most bytes waiting to be written.
  explicit StructuredLog(int descriptor, std::size_t capacity = kDefaultCapacity)
      : descriptor_(descriptor), capacity_(capacity) {}

  /// Starts a line. @param event stable name, listed in docs/OPERATIONS.md.
  Line event(std::string_view name) { return {*this, name}; }

  /// Writes what the descriptor takes without blocking.
  void flush();

  std::uint64_t dropped() const { return dropped_; }

 private:
  static constexpr std::size_t kDefaultCapacity = std::size_t{256} << 10U;

  void append(std::string_view line);

  int descriptor_;
  std::size_t capacity_;
  std::string waiting_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace sailgate::observe

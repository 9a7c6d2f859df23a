/// @file Takes changed settings over while the node runs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/asio.hpp"
#include "observe/structured_log.hpp"
#include "serving/node_settings.hpp"

namespace sailgate::serving {

/// Names of the settings in which two versions differ.
struct SettingsChange {
  std::vector<std::string> applied;       ///< hold from now on
  std::vector<std::string> need_restart;  ///< identity and own addresses: hold for a process's life
};

/// Names in which `after` differs from `before`.
SettingsChange compare_settings(const NodeSettings& before, const NodeSettings& after);

/// Reads the settings file again when told to, and when it was written since. Settings that cannot
/// be read are logged and change nothing. Not thread-safe: belongs to the event loop.
class SettingsReloader {
 public:
  /// Where settings come from. Both may throw std::exception.
  struct Source {
    std::function<NodeSettings()> read;
    std::function<std::int64_t()> modified_at;  ///< any number that changes with the file
  };
  using Apply = std::function<void(const NodeSettings&)>;

  /// @param apply takes over the settings that can change while the node runs.
  SettingsReloader(net::asio::io_context& context, observe::StructuredLog& log, Source source,
                   NodeSettings current, Apply apply);

  /// Reads and applies. @param cause why, for the log.
  void reload(const char* cause);
  /// Looks for a written file now and then, for as long as the event loop runs.
  net::asio::awaitable<void> watch();
  /// Reloads when the file was written since it was last looked at.
  void reload_if_modified();

 private:
  /// Whether the file was written since the last look.
  bool file_modified();
  void log_unreadable(const char* cause, const std::exception& error);

  net::asio::io_context& context_;
  observe::StructuredLog& log_;
  Source source_;
  NodeSettings current_;
  Apply apply_;
  std::int64_t modified_at_ = 0;
};

}  // namespace sailgate::serving

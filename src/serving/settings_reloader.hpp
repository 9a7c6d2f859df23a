/// @file Applies changed settings while the node runs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/asio.hpp"
#include "observe/structured_log.hpp"
#include "serving/node_settings.hpp"

namespace sailgate::serving {

/// Names of the settings that differ between two versions, by whether they can be applied at
/// runtime.
struct SettingsChange {
  std::vector<std::string> applied;       ///< take effect without a restart
  std::vector<std::string> need_restart;  ///< identity, listen addresses and quota bounds
};

SettingsChange compare_settings(const NodeSettings& before, const NodeSettings& after);

/// Reloads the settings file on request and when the file was modified. If it cannot be read, the
/// error is logged and the current settings stay in effect. Not thread-safe: use only on the event
/// loop.
class SettingsReloader {
 public:
  /// Access to the settings file. Both functions may throw std::exception.
  struct Source {
    std::function<NodeSettings()> read;
    std::function<std::int64_t()> modified_at;  ///< any number that changes when the file does
  };
  using Apply = std::function<void(const NodeSettings&)>;

  /// @param apply applies the settings that can change while the node runs.
  SettingsReloader(net::asio::io_context& context, observe::StructuredLog& log, Source source,
                   NodeSettings current, Apply apply);

  /// Reads the settings and applies the changes. @param cause reason for the reload, for the log.
  void reload(const char* cause);
  /// Checks the file for modifications periodically, for as long as the event loop runs.
  net::asio::awaitable<void> watch();
  /// Reloads the settings if the file was modified since the last check.
  void reload_if_modified();

 private:
  /// Whether the file was modified since the last check.
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

#include "serving/settings_reloader.hpp"

#include <exception>
#include <utility>

namespace sailgate::serving {

namespace {

constexpr net::Millis kWatchInterval{1000};

std::string join_names(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) {
    if (!text.empty()) text += ',';
    text += name;
  }
  return text;
}

}  // namespace

SettingsChange compare_settings(const NodeSettings& before, const NodeSettings& after) {
  SettingsChange change;
  if (before.store != after.store) change.applied.emplace_back("store");
  if (before.stop_grace != after.stop_grace) change.applied.emplace_back("stop_grace");
  if (before.engine_heartbeat != after.engine_heartbeat) {
    change.applied.emplace_back("engine_heartbeat");
  }
  if (before.node != after.node) change.need_restart.emplace_back("node");
  if (before.zone != after.zone) change.need_restart.emplace_back("zone");
  if (before.callers != after.callers) change.need_restart.emplace_back("callers");
  if (before.readiness != after.readiness) change.need_restart.emplace_back("readiness");
  if (before.peers != after.peers) change.need_restart.emplace_back("peers");
  if (before.metrics != after.metrics) change.need_restart.emplace_back("metrics");
  if (!(before.quota_bounds == after.quota_bounds)) {
    change.need_restart.emplace_back("quota_bounds");
  }
  return change;
}

SettingsReloader::SettingsReloader(net::asio::io_context& context, observe::StructuredLog& log,
                                   Source source, NodeSettings current, Apply apply)
    : context_(context),
      log_(log),
      source_(std::move(source)),
      current_(std::move(current)),
      apply_(std::move(apply)) {
  file_modified();
}

bool SettingsReloader::file_modified() {
  try {
    const auto before = std::exchange(modified_at_, source_.modified_at());
    return modified_at_ != before;
  } catch (const std::exception&) {
    return false;  // the file is being replaced: the next check will find it
  }
}

void SettingsReloader::log_unreadable(const char* cause, const std::exception& error) {
  log_.event("settings_unreadable").with("cause", cause).with("why", error.what());
}

void SettingsReloader::reload(const char* cause) {
  file_modified();  // marks the current version as seen, so that watch() does not reload it again
  try {
    auto settings = source_.read();
    const auto change = compare_settings(current_, settings);
    log_.event("settings_reloaded")
        .with("cause", cause)
        .with("taken", join_names(change.applied))
        .with("need_restart", join_names(change.need_restart));
    if (!change.applied.empty()) apply_(settings);
    current_ = std::move(settings);
  } catch (const std::exception& error) {
    log_unreadable(cause, error);
  }
}

void SettingsReloader::reload_if_modified() {
  if (file_modified()) reload("written");
}

net::asio::awaitable<void> SettingsReloader::watch() {
  while (true) {
    co_await net::sleep_for(context_, kWatchInterval);
    reload_if_modified();
  }
}

}  // namespace sailgate::serving

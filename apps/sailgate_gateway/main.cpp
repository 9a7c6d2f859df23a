/// @file sailgate-gateway: one serving node on a platform with a durable table store.

#include <sodium.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "cli/command_line.hpp"
#include "edge_headers.hpp"
#include "node_settings_file.hpp"
#include "records.hpp"
#include "serving/gateway.hpp"
#include "serving/settings_reloader.hpp"
#include "table_client.hpp"

namespace {

using namespace sailgate;
namespace options = boost::program_options;

/// Unique among all processes that ever ran.
std::int64_t draw_incarnation() {
  std::int64_t value = 0;
  randombytes_buf(&value, sizeof(value));
  return value & INT64_MAX;
}

/// Waits for signals for as long as the event loop runs.
void handle_signals(net::asio::signal_set& signals, serving::Gateway& gateway,
                    serving::SettingsReloader& reloader) {
  signals.async_wait([&](const net::Error& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      reloader.reload("signal");
    } else {
      gateway.stop();
    }
    handle_signals(signals, gateway, reloader);
  });
}

/// Time of the file's last change, in nanoseconds. @throws std::filesystem::filesystem_error
std::int64_t modified_at(const std::string& path) {
  return std::filesystem::last_write_time(path).time_since_epoch().count();
}

/// Where settings are read from and what the command line says over them.
struct SettingsSource {
  std::string path;
  std::optional<std::uint16_t> metrics_port;
  base::Mechanisms mechanisms;

  serving::NodeSettings read() const {
    auto settings = platform::read_node_settings(path);
    if (metrics_port) settings.metrics = net::Endpoint(settings.callers.address(), *metrics_port);
    settings.mechanisms = mechanisms;
    return settings;
  }
};

int serve(const SettingsSource& from) {
  const auto settings = from.read();
  observe::StructuredLog log(STDOUT_FILENO);
  net::asio::io_context context(1);
  const platform::EdgeHeaders protocol;
  const platform::Records records;
  platform::TableClient store(context, settings.store);
  const auto incarnation = draw_incarnation();
  serving::Gateway gateway(context, settings, protocol, records, store, log, incarnation);
  net::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  serving::SettingsReloader::Source source;
  source.read = [&] { return from.read(); };
  source.modified_at = [&] { return modified_at(from.path); };
  const auto apply = [&](const serving::NodeSettings& changed) {
    store.set_server(changed.store);
    gateway.apply(changed);
  };
  serving::SettingsReloader reloader(context, log, std::move(source), settings, apply);
  handle_signals(signals, gateway, reloader);
  net::asio::co_spawn(context, reloader.watch(), net::asio::detached);
  gateway.start();
  log.event("started")
      .with("node", settings.node)
      .with("zone", settings.zone)
      .with("incarnation", incarnation)
      .with("version", SAILGATE_VERSION);
  context.run();
  return cli::kSuccess;
}

std::string settings_path(const options::variables_map& values) {
  if (values.count("settings") > 0) return values["settings"].as<std::string>();
  if (const char* path = std::getenv(platform::kSettingsVariable)) return path;
  throw std::runtime_error(std::string("no settings file: give --settings or set ") +
                           platform::kSettingsVariable);
}

std::string without_help() {
  std::string text = "for experiments: a mechanism to switch off, may be repeated; one of";
  for (const auto& name : base::mechanism_names()) text += " " + name;
  return text;
}

int run(int argc, char** argv) {
  options::options_description description("sailgate-gateway: one serving node");
  description.add_options()("help", "print this text and exit")("version",
                                                                "print the version and exit")(
      "settings", options::value<std::string>(),
      "settings file (TOML) instead of the one the environment names")(
      "metrics-port", options::value<std::uint16_t>(),
      "port of the metrics instead of the first free one that the settings name")(
      "without", options::value<std::vector<std::string>>()->composing(), without_help().c_str())(
      "check", "check the settings and exit");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.count("help") > 0) {
    std::cout << description << "Exit codes: 0 success, 1 failure, 2 bad arguments or settings\n";
    return cli::kSuccess;
  }
  if (values.count("version") > 0) {
    std::cout << "sailgate-gateway " << SAILGATE_VERSION << '\n';
    return cli::kSuccess;
  }
  SettingsSource source{settings_path(values), std::nullopt, {}};
  if (values.count("metrics-port") > 0) {
    source.metrics_port = values["metrics-port"].as<std::uint16_t>();
  }
  if (values.count("without") > 0) {
    for (const auto& name : values["without"].as<std::vector<std::string>>()) {
      base::switch_off(source.mechanisms, name);
    }
  }
  if (values.count("check") > 0) {
    source.read();
    return cli::kSuccess;
  }
  return serve(source);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "sailgate-gateway: " << error.what() << '\n';
    return cli::kBadUsage;
  }
}

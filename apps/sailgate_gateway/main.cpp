/// @file sailgate-gateway: one serving node on a platform with a durable table store.

#include <sodium.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "cli/command_line.hpp"
#include "edge_headers.hpp"
#include "node_settings_file.hpp"
#include "records.hpp"
#include "serving/gateway.hpp"
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
                    observe::StructuredLog& log) {
  signals.async_wait([&](const net::Error& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      // NOTE: addresses are the only settings in use, and they hold for a process's life.
      log.event("settings_reloaded").with("changed", 0);
    } else {
      gateway.stop();
    }
    handle_signals(signals, gateway, log);
  });
}

int serve(const serving::NodeSettings& settings) {
  observe::StructuredLog log(STDOUT_FILENO);
  net::asio::io_context context(1);
  const platform::EdgeHeaders protocol;
  const platform::Records records;
  platform::TableClient store(context, settings.store);
  const auto incarnation = draw_incarnation();
  serving::Gateway gateway(context, settings, protocol, records, store, log, incarnation);
  net::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  handle_signals(signals, gateway, log);
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

int run(int argc, char** argv) {
  options::options_description description("sailgate-gateway: one serving node");
  description.add_options()("help", "print this text and exit")("version",
                                                                "print the version and exit")(
      "settings", options::value<std::string>(),
      "settings file (TOML) instead of the one the environment names")(
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
  const auto settings = platform::read_node_settings(settings_path(values));
  if (values.count("check") > 0) return cli::kSuccess;
  return serve(settings);
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

/// @file sailgated: one node of the product's own interface.

#include <signal.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <thread>

#include "api/answers.hpp"
#include "api/caller_api.hpp"
#include "backend/backend_client.hpp"
#include "cli/program.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"
#include "node/node_runtime.hpp"
#include "node/node_settings.hpp"
#include "node/settings_reader.hpp"
#include "table_client.hpp"

namespace {

using namespace sailgate;
namespace options = boost::program_options;

constexpr std::size_t kHttpLibraryThreads = 16;
constexpr std::chrono::milliseconds kStopPoll{50};
/// A planned stop ends after this time even if calls are still running.
constexpr std::chrono::seconds kStopLimit{60};
/// Answers on their way out are given this long before the listener closes.
constexpr std::chrono::milliseconds kLastAnswers{200};

/// Blocks SIGTERM and SIGINT in all threads, so that the main thread can wait for them.
sigset_t block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Refuses new work and finishes the calls there are.
void drain(node::NodeRuntime& node, api::CallerApi& api, observe::SharedLog& log) {
  log.event("stopping", [&](auto& line) { line.with("active_calls", api.active_calls()); });
  api.begin_stop();
  node.begin_stop();
  const auto limit = std::chrono::steady_clock::now() + kStopLimit;
  while (api.active_calls() > 0 && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kStopPoll);
  }
  std::this_thread::sleep_for(kLastAnswers);
  log.event("stopped", [&](auto& line) { line.with("active_calls", api.active_calls()); });
}

net::Endpoint endpoint_of(const std::string& address) {
  const auto parsed = node::parse_address(address);
  return {net::asio::ip::make_address(parsed.host), static_cast<std::uint16_t>(parsed.port)};
}

int serve(const node::NodeSettings& settings, const sigset_t& signals) {
  http::initialize_http(kHttpLibraryThreads);
  observe::SharedLog log(STDOUT_FILENO);
  http::HttpClient client;
  const auto table = endpoint_of(settings.table_service);
  store::BlockingStore store([&table](net::asio::io_context& context) {
    return std::make_unique<platform::TableClient>(context, table);
  });
  backend::HttpMachineList machines(client, settings.machine_list);
  backend::HttpBackendClient backends(client);
  api::Statistics statistics;
  node::NodeRuntime node(
      settings, {store, settings.machine_list.empty() ? nullptr : &machines, backends, log});
  api::CallRunner runner(node, backends, statistics, log);
  api::CallerApi api(node, runner, statistics, log);
  http::HttpServer::Options listen;
  listen.host = settings.host;
  listen.port = settings.http_port;
  listen.workers = settings.http_workers;
  listen.body_limit = api::CallerApi::kBodyLimit;
  listen.too_large = api::refusal_answer(wire::ErrorKind::kBodyTooLarge);
  listen.busy = api::refusal_answer(wire::ErrorKind::kOverloaded);
  http::HttpServer server(listen,
                          [&api](const http::HttpRequest& request, http::Responder& responder) {
                            api.handle(request, responder);
                          });
  log.event("started", [&](auto& line) {
    line.with("address", node.address()).with("zone", settings.zone);
    line.with("process", node.process_id()).with("version", SAILGATE_VERSION);
  });
  int received = 0;
  sigwait(&signals, &received);
  drain(node, api, log);
  return cli::kSuccess;
}

/// Flags go before the settings file.
void apply_flags(const options::variables_map& values, node::NodeSettings& settings) {
  constexpr std::int32_t kHighestPort = 65535;
  if (values.count("host") > 0) settings.host = values["host"].as<std::string>();
  if (values.count("zone") > 0) settings.zone = values["zone"].as<std::string>();
  if (values.count("http-port") == 0) return;
  settings.http_port = values["http-port"].as<std::int32_t>();
  if (settings.http_port < 1 || settings.http_port > kHighestPort) {
    throw options::error("--http-port must be from 1 to 65535");
  }
}

int run(int argc, char** argv) {
  options::options_description description("sailgated: one node of the product's own interface");
  description.add_options()("help", "print this text")("version", "print the version")(
      "settings", options::value<std::string>(), "settings file (TOML)")(
      "check", "check the settings and exit")("host", options::value<std::string>(),
                                              "address of this node, instead of the file's")(
      "zone", options::value<std::string>(), "zone of this node, instead of the file's")(
      "http-port", options::value<std::int32_t>(), "port for callers, instead of the file's");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (cli::answer_help("sailgated", values, description,
                       "0 success, 1 failure, 2 bad arguments or settings")) {
    return cli::kSuccess;
  }
  if (values.count("settings") == 0) throw options::required_option("settings");
  auto settings = node::read_node_settings(values["settings"].as<std::string>());
  apply_flags(values, settings);
  if (values.count("check") > 0) return cli::kSuccess;
  const auto signals = block_stop_signals();
  return serve(settings, signals);
}

}  // namespace

int main(int argc, char** argv) { return cli::run_program("sailgated", argc, argv, run); }

/// @file sailgated: one node of the cluster.

#include <glog/logging.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <thread>

#include "backend/backend_client.hpp"
#include "cli/program.hpp"
#include "gateway/answers.hpp"
#include "gateway/caller_api.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"
#include "node/node_runtime.hpp"
#include "node/node_settings.hpp"
#include "node/settings_reader.hpp"
#include "platform/machine_list.hpp"
#include "platform/table_service.hpp"

namespace {

using namespace sailgate;
namespace options = boost::program_options;

constexpr std::size_t kHttpLibraryThreads = 16;
constexpr std::chrono::milliseconds kStopPoll{50};
/// A planned stop ends after this time even if replicas could not be handed over.
constexpr std::chrono::seconds kStopLimit{60};
/// Without any node to hand over to, the stop waits this long for one.
constexpr std::chrono::seconds kSuccessorLimit{3};
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

/// Hands everything over: refuses new work, finishes calls, gives leaderships and replicas away.
void drain(node::NodeRuntime& node, gateway::CallerApi& api) {
  LOG(INFO) << "stopping: draining";
  api.begin_stop();
  node.begin_stop();
  const auto limit = std::chrono::steady_clock::now() + kStopLimit;
  auto successor_seen = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < limit) {
    const auto now = std::chrono::steady_clock::now();
    if (node.successor_known()) successor_seen = now;
    const bool alone = now - successor_seen >= kSuccessorLimit;
    if (api.active_calls() == 0 && (node.released() || alone)) break;
    std::this_thread::sleep_for(kStopPoll);
  }
  std::this_thread::sleep_for(kLastAnswers);
  LOG(INFO) << "stopping: "
            << (node.released() ? "all replicas handed over" : "replicas could not be handed over");
}

int serve(const node::NodeSettings& settings, const sigset_t& signals) {
  http::initialize_http(kHttpLibraryThreads);
  http::HttpClient client;
  platform::HttpTableService table(client, settings.table_service);
  platform::HttpMachineList machines(client, settings.machine_list);
  backend::HttpBackendClient backends(client);
  gateway::Statistics statistics;
  node::NodeRuntime node(settings,
                         {table, settings.machine_list.empty() ? nullptr : &machines, backends});
  gateway::CallRunner runner(node, backends, statistics);
  gateway::CallerApi api(node, runner, statistics);
  http::HttpServer::Options listen;
  listen.host = settings.host;
  listen.port = settings.http_port;
  listen.workers = settings.http_workers;
  listen.body_limit = gateway::CallerApi::kBodyLimit;
  listen.too_large = gateway::refusal_answer(wire::ErrorKind::kBodyTooLarge);
  listen.busy = gateway::refusal_answer(wire::ErrorKind::kOverloaded);
  http::HttpServer server(listen,
                          [&api](const http::HttpRequest& request, http::Responder& responder) {
                            api.handle(request, responder);
                          });
  LOG(INFO) << "member " << node.member_id() << " in " << settings.zone << " serves "
            << settings.host << ":" << settings.http_port;
  int received = 0;
  sigwait(&signals, &received);
  drain(node, api);
  return cli::kSuccess;
}

/// Flags go before the settings file.
void apply_flags(const options::variables_map& values, node::NodeSettings& settings) {
  constexpr std::int32_t kHighestPort = 65535;
  const auto port = [&values](const std::string& name, std::int32_t& target) {
    if (values.count(name) == 0) return;
    target = values[name].as<std::int32_t>();
    if (target < 1 || target > kHighestPort) {
      throw options::error("--" + name + " must be from 1 to 65535");
    }
  };
  if (values.count("host") > 0) settings.host = values["host"].as<std::string>();
  if (values.count("zone") > 0) settings.zone = values["zone"].as<std::string>();
  port("rpc-port", settings.rpc_port);
  port("http-port", settings.http_port);
}

int run(int argc, char** argv) {
  options::options_description description("sailgated: one node of a sailgate cluster");
  description.add_options()("help", "print this text")("version", "print the version")(
      "settings", options::value<std::string>(), "settings file (TOML)")(
      "check", "check the settings and exit")("host", options::value<std::string>(),
                                              "address of this node, instead of the file's")(
      "zone", options::value<std::string>(), "zone of this node, instead of the file's")(
      "rpc-port", options::value<std::int32_t>(), "port for nodes, instead of the file's")(
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

/// @file sailgate-standin: small stand-ins for what sailgate talks to, for tests and experiments.

#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "application_service.hpp"
#include "cli/program.hpp"
#include "engine_service.hpp"
#include "http/http_server.hpp"
#include "object_store.hpp"
#include "service.hpp"
#include "table_service.hpp"

namespace {

using namespace sailgate;
namespace options = boost::program_options;

constexpr std::size_t kHttpLibraryThreads = 8;
constexpr std::size_t kWorkers = 128;
constexpr std::size_t kBodyLimit = 64U << 20U;

std::unique_ptr<standin::Service> make_service(const std::string& kind,
                                               const options::variables_map& values) {
  if (kind == "engine") {
    standin::EngineShape shape;
    shape.step_microseconds = values["step-us"].as<std::int64_t>();
    shape.answer_tokens = values["answer-tokens"].as<std::int64_t>();
    shape.cache_blocks = values["cache-blocks"].as<std::size_t>();
    shape.maximum_batch = values["batch"].as<std::size_t>();
    const auto models = values["model"].as<std::vector<std::string>>();
    return std::make_unique<standin::EngineService>(
        shape, std::set<std::string>(models.begin(), models.end()));
  }
  if (kind == "application-engine") {
    return std::make_unique<standin::ApplicationService>("operations");
  }
  if (kind == "tool") return std::make_unique<standin::ApplicationService>("tools");
  if (kind == "table-service") return std::make_unique<standin::TableStandIn>();
  if (kind == "object-store") return std::make_unique<standin::ObjectStoreStandIn>();
  if (kind == "machine-list") return std::make_unique<standin::MachineListStandIn>();
  throw options::error("unknown stand-in '" + kind + "'");
}

int run(int argc, char** argv) {
  options::options_description description(
      "sailgate-standin KIND [options]; KIND is engine, application-engine, tool, table-service, "
      "object-store or machine-list");
  auto add = description.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("kind", options::value<std::string>(), "what to stand in for");
  add("host", options::value<std::string>()->default_value("127.0.0.1"), "address to listen on");
  add("port", options::value<std::int32_t>()->default_value(9000), "port to listen on");
  add("model", options::value<std::vector<std::string>>()->default_value({"model"}, "model"),
      "engine: a model it has loaded");
  add("step-us", options::value<std::int64_t>()->default_value(2000),
      "engine: microseconds per step");
  add("answer-tokens", options::value<std::int64_t>()->default_value(24),
      "engine: tokens in an answer");
  add("cache-blocks", options::value<std::size_t>()->default_value(4096),
      "engine: blocks of prefix cache");
  add("batch", options::value<std::size_t>()->default_value(32), "engine: largest batch");
  const auto values = cli::parse_with_first(argc, argv, description, "kind");
  if (cli::answer_help("sailgate-standin", values, description,
                       "0 success, 1 failure, 2 bad arguments")) {
    return cli::kSuccess;
  }
  if (values.count("kind") == 0) throw options::error("no kind of stand-in is named");
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  http::initialize_http(kHttpLibraryThreads);
  const auto service = make_service(values["kind"].as<std::string>(), values);
  http::HttpServer::Options listen;
  listen.host = values["host"].as<std::string>();
  listen.port = values["port"].as<std::int32_t>();
  listen.workers = kWorkers;
  listen.body_limit = kBodyLimit;
  listen.too_large = standin::error_answer(413, "body too large");
  listen.busy = standin::error_answer(503, "busy");
  const http::HttpServer server(
      listen, [&service](const http::HttpRequest& request, http::Responder& responder) {
        service->handle(request, responder);
      });
  int received = 0;
  sigwait(&signals, &received);
  // Requests made to hang by a fault are not waited for.
  std::_Exit(cli::kSuccess);
}

}  // namespace

int main(int argc, char** argv) { return cli::run_program("sailgate-standin", argc, argv, run); }

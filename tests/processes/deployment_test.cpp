#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "base/digest.hpp"
#include "configuration/signing.hpp"
#include "faults.hpp"
#include "http/http_server.hpp"
#include "local_deployment.hpp"
#include "node/bundle_file.hpp"
#include "program_client.hpp"

using namespace sailgate;

namespace {

constexpr int kStartTimeout = 120'000;
constexpr std::size_t kHttpThreads = 16;

std::string programs_directory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::string work_directory(const std::string& name) {
  const auto unique = "sailgate-test-" + name + "-" + std::to_string(getpid());
  return (std::filesystem::temp_directory_path() / unique).string();
}

void initialize_once() {
  static const bool done = [] {
    http::initialize_http(kHttpThreads);
    return true;
  }();
  static_cast<void>(done);
}

/// Sends raw bytes to an address and reads what comes back, if anything does soon.
void send_raw(const std::string& host, int port, const std::string& bytes) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  const timeval patience{0, 500'000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  shutdown(descriptor, SHUT_WR);
  char buffer[256];
  while (recv(descriptor, buffer, sizeof(buffer), 0) > 0) {
  }
  close(descriptor);
}

struct BadRequest {
  std::string body;
  std::string kind;
};

}  // namespace

TEST_CASE("bad input gets its own error kind, changes nothing and ends no process", "[processes]") {
  initialize_once();
  bench::DeploymentShape shape;
  shape.nodes_per_zone = 1;
  shape.base_port = 24000;
  bench::LocalDeployment deployment(shape, programs_directory(), work_directory("input"));
  REQUIRE(deployment.start(kStartTimeout));
  bench::ProgramClient client(deployment.client(), "federation");
  const auto node = deployment.node_address(0);
  const auto program = client.open(node, "victim", "season-plan", 1000).program;
  REQUIRE_FALSE(program.empty());

  const auto post = [&](const std::vector<std::string>& path, const std::string& body,
                        const std::string& tenant) {
    http::HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers["Sailgate-Tenant"] = tenant;
    request.body = body;
    return deployment.client().send(node, request, std::chrono::milliseconds(20'000));
  };
  const std::vector<std::string> calls{"v1", "programs", program, "calls"};
  const std::vector<BadRequest> bad{
      {"{", "malformed_request"},
      {"[]", "malformed_request"},
      {"\"\xff\xfe\"", "invalid_utf8"},
      {R"({"sequence":"one","key":"k","target":{}})", "malformed_request"},
      {R"({"sequence":1,"key":"k","target":{"engine":{"model":"model"}}})", "malformed_request"},
      {R"({"sequence":1,"key":"k","target":{"tool":{"name":"calendar"}},"more":1})",
       "malformed_request"},
      {R"({"sequence":5,"key":"k","target":{"tool":{"name":"calendar"}}})", "wrong_sequence"},
      {R"({"sequence":1,"key":"k","target":{"tool":{"name":"nobody"}}})", "no_feasible_backend"},
      {std::string(5U << 20U, 'x'), "body_too_large"},
      {std::string(100'000, '['), "malformed_request"},
  };
  for (const auto& request : bad) {
    const auto result = post(calls, request.body, "federation");
    CAPTURE(request.body.substr(0, 60), request.kind, result.error);
    REQUIRE(result.body_complete);
    const auto json = web::json::value::parse(result.response.body);
    REQUIRE(json.at("error").at("kind").as_string() == request.kind);
  }
  const auto foreign =
      post(calls, R"({"sequence":1,"key":"k","target":{"tool":{"name":"calendar"}}})", "pharmacy");
  REQUIRE(foreign.response.status == 404);

  // Bytes that are no HTTP, too long, or cut off.
  const std::string host = node.substr(0, node.find(':'));
  send_raw(host, shape.base_port, "nonsense\r\n\r\n");
  send_raw(host, shape.base_port, std::string("\x7f\xff\xff\xff", 4) + "junk");
  send_raw(host, shape.base_port, "POST /v1/programs HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
  send_raw(host, shape.base_port, std::string(4096, '\x00'));

  const auto view = client.read(node, program);
  REQUIRE(view.status == 200);
  REQUIRE(view.body.at("history").as_array().size() == 0);
  REQUIRE(view.body.at("reserved_tokens").as_integer() == 0);
  for (std::size_t i = 0; i < deployment.node_count(); ++i) REQUIRE(deployment.node_running(i));
}

TEST_CASE("a cut stream is resumed and a lost answer becomes known", "[processes]") {
  initialize_once();
  bench::DeploymentShape shape;
  shape.nodes_per_zone = 1;
  shape.base_port = 24200;
  bench::LocalDeployment deployment(shape, programs_directory(), work_directory("streams"));
  REQUIRE(deployment.start(kStartTimeout));
  bench::ProgramClient client(deployment.client(), "federation");
  const auto node = deployment.node_address(0);
  const auto program = client.open(node, "p", "season-plan", 1000).program;
  for (const auto& engine : deployment.engines()) {
    deployment.set_faults(engine, R"({"cut_after":5,"cross_next":1})");
  }
  bench::CallDescription description;
  description.key = "first";
  description.stream = true;
  description.target = bench::engine_target("Plan", 64);
  const auto streamed = client.call(node, program, description);
  REQUIRE(streamed.kind.empty());
  REQUIRE(streamed.pieces == 24);
  REQUIRE(streamed.result.find("first") != std::string::npos);

  for (const auto& application : deployment.application_engines()) {
    deployment.set_faults(application, R"({"lose_next":1})");
  }
  bench::CallDescription booking;
  booking.sequence = 2;
  booking.key = "second";
  booking.repeatable = false;
  booking.deadline_ms = 1500;
  booking.target = bench::application_target("book");
  const auto lost = client.call(node, program, booking);
  REQUIRE(lost.ran == "unknown");
  bench::CallerAnswer known;
  for (int i = 0; i < 200 && known.status != 200; ++i) {
    known = client.look_up(node, program, "second");
    if (known.status != 200) usleep(100'000);
  }
  REQUIRE(known.result.find("second") != std::string::npos);
  const auto effects = web::json::value::parse(
      deployment.get(deployment.application_engines().front(), {"v1", "effects"}));
  REQUIRE(effects.at("second").as_integer() == 1);
}

TEST_CASE("a bundle signed by both partners is in force on every node when accepted",
          "[processes]") {
  initialize_once();
  const auto federation = configuration::key_pair_from_seed(std::string(32, 'f'));
  const auto pharmacy = configuration::key_pair_from_seed(std::string(32, 'p'));
  bench::DeploymentShape shape;
  shape.nodes_per_zone = 1;
  shape.base_port = 24600;
  shape.extra_settings = "[[partners]]\nname = \"federation\"\npublic_key = \"" +
                         base::to_hex(federation.public_key) +
                         "\"\n[[partners]]\nname = \"pharmacy\"\npublic_key = \"" +
                         base::to_hex(pharmacy.public_key) + "\"\n";
  bench::LocalDeployment deployment(shape, programs_directory(), work_directory("bundles"));
  REQUIRE(deployment.start(kStartTimeout));

  wire::SignedBundle rolled;
  rolled.bundle.partner = "federation";
  rolled.bundle.version = 1;
  wire::TenantRule tenant;
  tenant.name = "choir";
  tenant.token_hashes = {base::token_digest("secret")};
  rolled.bundle.tenants = {tenant};
  rolled.signatures = {configuration::sign(rolled.bundle, "federation", federation.secret_key)};
  const auto roll = [&](std::size_t node) {
    http::HttpRequest request;
    request.method = "POST";
    request.path = {"v1", "configuration"};
    request.body = R"({"signed_bundle":")" + node::to_text(rolled) + "\"}";
    return deployment.client().send(deployment.node_address(node), request,
                                    std::chrono::milliseconds(30'000));
  };
  REQUIRE(roll(0).response.status == 422);
  rolled.signatures.push_back(configuration::sign(rolled.bundle, "pharmacy", pharmacy.secret_key));
  REQUIRE(roll(1).response.status == 200);
  for (std::size_t i = 0; i < deployment.node_count(); ++i) {
    const auto body = deployment.get(deployment.node_address(i), {"v1", "configuration"});
    REQUIRE(web::json::value::parse(body).at("generation").as_integer() == 1);
  }
  // Another bundle on the same generation lost the race and is told who won.
  rolled.bundle.version = 2;
  rolled.signatures = {configuration::sign(rolled.bundle, "federation", federation.secret_key),
                       configuration::sign(rolled.bundle, "pharmacy", pharmacy.secret_key)};
  const auto lost = roll(2);
  REQUIRE(lost.response.status == 409);
  REQUIRE(lost.response.body.find("version 1 of partner federation") != std::string::npos);
  // Now a tenant needs its token.
  bench::ProgramClient stranger(deployment.client(), "choir");
  REQUIRE(stranger.open(deployment.node_address(0), "p", "season-plan", 10).status == 401);
}

TEST_CASE("no promise is violated on real processes under faults", "[processes]") {
  initialize_once();
  bench::FaultOptions options;
  options.programs = 8;
  options.callers = 3;
  options.faults = 8;
  options.outage_millis = 2000;
  options.base_port = 24400;
  options.programs_directory = programs_directory();
  options.work_directory = work_directory("faults");
  const auto report = bench::faults(options);
  CAPTURE(report.text);
  REQUIRE(report.started);
  REQUIRE(report.violations == 0);
  REQUIRE(report.programs_finished >= options.programs);
}

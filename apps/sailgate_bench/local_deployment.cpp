#include "local_deployment.hpp"

#include <cpprest/json.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace sailgate::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPoll{50};
constexpr std::chrono::milliseconds kRequestTimeout{2000};
constexpr int kStandinTimeout = 20'000;
/// Nodes listen on base_port of their own loopback addresses, stand-ins above it.
constexpr std::int32_t kStandinPortOffset = 10;
/// Few enough that each node sees all of them in each sweep.
constexpr int kFamilyParts = 16;

/// 127.128.0.0/9 by process id, so that two deployments at a time do not meet. @param last part of
/// the address.
std::string own_host(std::size_t last) {
  const auto id = static_cast<unsigned>(getpid());
  constexpr unsigned kFirstPart = 128;
  constexpr unsigned kParts = 128;
  constexpr unsigned kHosts = 256;
  return "127." + std::to_string(kFirstPart + id / kHosts % kParts) + "." +
         std::to_string(id % kHosts) + "." + std::to_string(last);
}

/// Last part of the address of all stand-ins; nodes count from 1.
constexpr std::size_t kStandins = 250;

}  // namespace

LocalDeployment::LocalDeployment(DeploymentShape shape, std::string programs, std::string work)
    : shape_(std::move(shape)),
      programs_(std::move(programs)),
      work_(std::move(work)),
      next_port_(shape_.base_port + kStandinPortOffset) {
  std::filesystem::create_directories(work_);
}

bool LocalDeployment::start(int timeout_millis) {
  table_address_ = start_standin("table-service", {});
  machine_list_address_ = start_standin("machine-list", {});
  object_store_address_ = start_standin("object-store", {});
  for (std::size_t i = 0; i < shape_.engines; ++i) {
    engines_.push_back(
        start_standin("engine", {"--step-us", std::to_string(shape_.step_microseconds),
                                 "--answer-tokens", std::to_string(shape_.answer_tokens)}));
  }
  for (std::size_t i = 0; i < shape_.application_engines; ++i) {
    application_engines_.push_back(start_standin("application-engine", {}));
  }
  tool_address_ = start_standin("tool", {});
  for (const auto& engine : engines_) engine_links_.push_back(reached_through(engine));
  for (const auto& application : application_engines_) {
    application_links_.push_back(reached_through(application));
  }
  for (std::size_t zone = 0; zone < shape_.zones; ++zone) {
    for (std::size_t i = 0; i < shape_.nodes_per_zone; ++i) {
      Node node;
      node.host = own_host(nodes_.size() + 1);
      node.zone = "zone" + std::to_string(zone + 1);
      node.settings_file = work_ + "/node-" + node.host + ".toml";
      nodes_.push_back(std::move(node));
    }
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    write_settings(nodes_[i]);
    start_node(i);
  }
  const auto limit = Clock::now() + std::chrono::milliseconds(timeout_millis);
  while (!serving()) {
    if (Clock::now() >= limit) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::string LocalDeployment::reached_through(const std::string& address) {
  return shape_.proxied ? links_.add(address) : address;
}

std::string LocalDeployment::start_standin(const std::string& kind,
                                           const std::vector<std::string>& options) {
  const auto port = std::to_string(next_port_++);
  std::vector<std::string> arguments{
      programs_ + "/sailgate-standin", kind, "--host", own_host(kStandins), "--port", port};
  arguments.insert(arguments.end(), options.begin(), options.end());
  standins_.push_back(
      std::make_unique<ChildProcess>(arguments, work_ + "/" + kind + "-" + port + ".log"));
  auto address = own_host(kStandins) + ":" + port;
  wait_until_answering(address, {"faults"}, kStandinTimeout);
  return address;
}

std::string LocalDeployment::backend_table(const std::string& address, const std::string& kind,
                                           const std::string& serves, std::size_t zone) const {
  return "[[backends]]\naddress = \"" + address + "\"\nkind = \"" + kind + "\"\nserves = [" +
         serves + "]\nzone = \"zone" + std::to_string(zone % shape_.zones + 1) + "\"\n";
}

void LocalDeployment::write_settings(Node& node) {
  std::ofstream file(node.settings_file);
  file << "host = \"" << node.host << "\"\nzone = \"" << node.zone << "\"\n";
  file << "http_port = " << shape_.base_port << "\n";
  file << "table_service = \"" << reached_through(table_address_) << "\"\n";
  file << "machine_list = \"" << machine_list_address_ << "\"\n";
  file << shape_.extra_settings;
  std::size_t zone = 0;
  for (const auto& engine : engine_links_)
    file << backend_table(engine, "engine", "\"model\"", zone++);
  zone = 0;
  for (const auto& application : application_links_) {
    file << backend_table(application, "application", "\"book\", \"order\", \"status\"", zone++);
  }
  file << backend_table(tool_address_, "tool", "\"calendar\", \"insurer\"", 0);
  file << "[knobs]\nfamily_parts = " << kFamilyParts << "\nparts_per_sweep = " << kFamilyParts
       << "\n";
}

void LocalDeployment::start_node(std::size_t index) {
  auto& node = nodes_.at(index);
  node.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{programs_ + "/sailgated", "--settings", node.settings_file},
      work_ + "/node-" + node.host + ".log");
}

bool LocalDeployment::stop(int timeout_millis) {
  bool clean = true;
  for (auto& node : nodes_) node.process->signal(SIGTERM);
  for (auto& node : nodes_) {
    const bool ended = node.process->wait(timeout_millis);
    clean = clean && ended && node.process->exit_code() == 0;
  }
  for (auto& standin : standins_) standin->signal(SIGTERM);
  for (auto& standin : standins_) standin->wait(timeout_millis);
  return clean;
}

std::string LocalDeployment::node_address(std::size_t index) const {
  return nodes_.at(index).host + ":" + std::to_string(shape_.base_port);
}

std::string LocalDeployment::zone_of(std::size_t index) const { return nodes_.at(index).zone; }

bool LocalDeployment::wait_until_answering(const std::string& address,
                                           const std::vector<std::string>& path,
                                           int timeout_millis) {
  const auto limit = Clock::now() + std::chrono::milliseconds(timeout_millis);
  while (get(address, path).empty()) {
    if (Clock::now() >= limit) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::string LocalDeployment::get(const std::string& address, const std::vector<std::string>& path) {
  http::HttpRequest request;
  request.path = path;
  const auto result = client_.send(address, request, kRequestTimeout);
  return result.body_complete && result.response.status == 200 ? result.response.body : "";
}

bool LocalDeployment::set_faults(const std::string& address, const std::string& json) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"faults"};
  request.body = json;
  const auto result = client_.send(address, request, kRequestTimeout);
  return result.body_complete && result.response.status == 200;
}

std::string LocalDeployment::describe() {
  std::string text;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    text += "    " + node_address(i) + " " + get(node_address(i), {"v1", "status"}) + "\n";
  }
  return text;
}

bool LocalDeployment::serving() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!node_running(i)) continue;
    const auto body = get(node_address(i), {"v1", "status"});
    if (body.empty()) return false;
    if (!web::json::value::parse(body).at("configuration_live").as_bool()) return false;
  }
  return true;
}

}  // namespace sailgate::bench

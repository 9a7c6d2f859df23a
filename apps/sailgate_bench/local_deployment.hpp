/// @file A whole deployment as real processes on loopback addresses.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "fault_proxy.hpp"
#include "http/http_client.hpp"

namespace sailgate::bench {

/// Size of a local deployment.
struct DeploymentShape {
  std::size_t zones = 3;
  std::size_t nodes_per_zone = 2;
  std::size_t engines = 2;
  std::size_t application_engines = 1;
  std::int64_t step_microseconds = 2000;
  std::int64_t answer_tokens = 24;
  std::int32_t base_port = 21000;
  bool proxied = false;  ///< nodes reach table service and back ends through links with faults
  std::string extra_settings;  ///< appended to each node's settings file
};

/// Starts sailgated and stand-ins from a directory of programs; ends them by their pids. Not
/// thread-safe.
class LocalDeployment {
 public:
  /// @param programs directory that holds sailgated and sailgate-standin.
  /// @param work directory for settings and logs; created.
  LocalDeployment(DeploymentShape shape, std::string programs, std::string work);
  LocalDeployment(const LocalDeployment&) = delete;
  LocalDeployment& operator=(const LocalDeployment&) = delete;
  ~LocalDeployment() = default;

  /// Starts everything. @return whether all nodes serve within `timeout_millis`.
  bool start(int timeout_millis);
  /// Sends SIGTERM to all nodes, then to the stand-ins. @return whether each node exited with 0.
  bool stop(int timeout_millis);

  std::size_t node_count() const { return nodes_.size(); }
  /// "host:port" of a node's HTTP interface.
  std::string node_address(std::size_t index) const;
  std::string zone_of(std::size_t index) const;
  ChildProcess& node(std::size_t index) { return *nodes_.at(index).process; }
  bool node_running(std::size_t index) { return nodes_.at(index).process->running(); }
  void start_node(std::size_t index);

  const std::string& table_address() const { return table_address_; }
  const std::string& machine_list_address() const { return machine_list_address_; }
  const std::vector<std::string>& engines() const { return engines_; }
  const std::vector<std::string>& application_engines() const { return application_engines_; }
  const std::string& tool_address() const { return tool_address_; }
  /// Links of the nodes, when the deployment is proxied.
  FaultProxies& links() { return links_; }
  /// Sets faults of a stand-in, as JSON.
  bool set_faults(const std::string& address, const std::string& json);
  /// GET of a path; an empty body when it fails.
  std::string get(const std::string& address, const std::vector<std::string>& path);
  http::HttpClient& client() { return client_; }
  /// Whether every running node serves under a live configuration.
  bool serving();
  /// Status of every node, for a report of what does not serve.
  std::string describe();

 private:
  struct Node {
    std::string host;
    std::string zone;
    std::string settings_file;
    std::unique_ptr<ChildProcess> process;
  };

  /// Address that nodes use for a service.
  std::string reached_through(const std::string& address);
  std::string start_standin(const std::string& kind, const std::vector<std::string>& options);
  std::string backend_table(const std::string& address, const std::string& kind,
                            const std::string& serves, std::size_t zone) const;
  void write_settings(Node& node);
  bool wait_until_answering(const std::string& address, const std::vector<std::string>& path,
                            int timeout_millis);

  DeploymentShape shape_;
  std::string programs_;
  std::string work_;
  http::HttpClient client_;
  FaultProxies links_;
  std::int32_t next_port_;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<ChildProcess>> standins_;
  std::string table_address_;
  std::string machine_list_address_;
  std::string tool_address_;
  std::string object_store_address_;
  std::vector<std::string> engines_;
  std::vector<std::string> engine_links_;
  std::vector<std::string> application_links_;
  std::vector<std::string> application_engines_;
};

}  // namespace sailgate::bench

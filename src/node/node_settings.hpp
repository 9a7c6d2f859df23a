/// @file Settings of sailgated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "configuration/signing.hpp"
#include "scheduling/backend_directory.hpp"

namespace sailgate::node {

/// Where a server listens.
struct Address {
  std::string host;
  std::int32_t port = 0;
};

/// Checked settings of one node process. docs/OPERATIONS.md lists the keys.
struct NodeSettings {
  std::string host;  ///< IP address other nodes and callers reach this node at
  std::string zone;
  std::int32_t http_port = 8400;
  std::size_t http_workers = 64;
  std::string table_service;  ///< "host:port"
  std::string machine_list;   ///< "host:port", or empty
  std::vector<scheduling::Backend> backends;
  configuration::PartnerKeys partner_keys;  ///< whose signatures a bundle needs
  base::Knobs knobs;
};

/// Splits "host:port". @throws std::invalid_argument.
Address parse_address(const std::string& text);

/// @throws SettingsError
NodeSettings read_node_settings(const std::string& file);

}  // namespace sailgate::node

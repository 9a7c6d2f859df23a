/// @file Settings of sailgated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "configuration/signing.hpp"
#include "membership/membership.hpp"
#include "scheduling/backend_directory.hpp"

namespace sailgate::node {

/// Checked settings of one node process. docs/OPERATIONS.md lists the keys.
struct NodeSettings {
  std::string host;  ///< address other nodes and callers reach this node at
  std::string zone;
  std::int32_t rpc_port = 7400;
  std::int32_t http_port = 8400;
  std::size_t http_workers = 64;
  std::vector<membership::Address> seeds;
  std::string table_service;  ///< "host:port"
  std::string machine_list;   ///< "host:port", or empty
  std::vector<scheduling::Backend> backends;
  configuration::PartnerKeys partner_keys;  ///< whose signatures a bundle needs
  base::Knobs knobs;
};

/// Splits "host:port". @throws std::invalid_argument.
membership::Address parse_address(const std::string& text);

/// @throws SettingsError
NodeSettings read_node_settings(const std::string& file);

}  // namespace sailgate::node

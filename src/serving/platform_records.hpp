/// @file Interface to the platform's records in the table store.
#pragma once

#include <string>

#include "balancing/engine.hpp"
#include "routing/configuration.hpp"

namespace sailgate::serving {

/// Locates and decodes the configuration and the engine entries.
class PlatformRecords {
 public:
  virtual ~PlatformRecords() = default;
  virtual std::string configuration_table() const = 0;
  virtual std::string configuration_key() const = 0;
  virtual std::string engine_table() const = 0;
  /// @throws std::exception if `value` is not a valid configuration.
  virtual routing::Configuration decode_configuration(const std::string& value) const = 0;
  /// @throws balancing::UnusableEntry if `value` does not describe a usable engine.
  virtual balancing::EngineRecord decode_engine(const std::string& key,
                                                const std::string& value) const = 0;
};

}  // namespace sailgate::serving

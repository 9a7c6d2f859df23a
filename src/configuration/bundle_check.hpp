/// @file Validation of configuration bundles, and look-ups in the active configuration.
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::configuration {

/// Validates a bundle on its own. @return a description of the first problem, or an empty string.
std::string validate_bundle(const wire::Bundle& bundle);

/// Validates a bundle against the active configuration: its version must be newer than the
/// partner's active one, the shares that all partners reserve of a model's engines must not exceed
/// 100 percent, and no tenant may belong to two partners.
/// @return a description of the first problem, or an empty string.
std::string validate_in_configuration(const wire::Bundle& bundle,
                                      const wire::Configuration& active);

/// Returns the next generation, in which the bundle replaces the partner's previous one.
wire::Configuration apply_bundle(const wire::Configuration& active, const wire::Bundle& bundle);

/// Look up the rule of a tenant or of a program kind. @return nullptr if no bundle defines it.
const wire::TenantRule* find_tenant(const wire::Configuration& configuration,
                                    const std::string& tenant);
const wire::ProgramRule* find_program(const wire::Configuration& configuration,
                                      const std::string& tenant, const std::string& kind);

}  // namespace sailgate::configuration

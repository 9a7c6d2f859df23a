/// @file Checks of a bundle, alone and together with the other partners' bundles in force.
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::configuration {

/// @return what is wrong with a bundle by itself, or an empty string.
std::string validate_bundle(const wire::Bundle& bundle);

/// @return why a bundle does not fit the configuration it would join, or an empty string: the
/// shares of a model's engines that partners reserve must fit together, and no tenant may belong to
/// two.
std::string validate_in_configuration(const wire::Bundle& bundle,
                                      const wire::Configuration& in_force);

/// The configuration after a bundle took effect.
wire::Configuration apply_bundle(const wire::Configuration& in_force, const wire::Bundle& bundle);

/// Rules in force; nullptr when no bundle names the tenant or kind.
const wire::TenantRule* find_tenant(const wire::Configuration& configuration,
                                    const std::string& tenant);
const wire::ProgramRule* find_program(const wire::Configuration& configuration,
                                      const std::string& tenant, const std::string& kind);

}  // namespace sailgate::configuration

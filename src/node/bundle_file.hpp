/// @file Operators' bundle files (TOML) and prepared bundles (text).
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::node {

/// Reads a bundle; `builds_on` stays 0. @throws SettingsError naming file, line and key.
wire::Bundle read_bundle_file(const std::string& file);

/// Text form of a bundle with its signatures, for files and requests.
std::string to_text(const wire::SignedBundle& signed_bundle);
/// @throws std::exception when the text is damaged.
wire::SignedBundle from_text(const std::string& text);

}  // namespace sailgate::node

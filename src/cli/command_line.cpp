#include "cli/command_line.hpp"

#ifndef SAILGATE_VERSION
#error "the build defines SAILGATE_VERSION"
#endif

namespace sailgate::cli {

std::string version_text(const std::string& program) { return program + " " + SAILGATE_VERSION; }

}  // namespace sailgate::cli

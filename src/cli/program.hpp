/// @file The frame of every program's main: logging, help, version, errors to exit codes.
#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "cli/command_line.hpp"

namespace sailgate::cli {

/// Runs a program's body and turns what it throws into a message and an exit code.
int run_program(const std::string& name, int argc, char** argv,
                const std::function<int(int, char**)>& body);

/// Answers --help and --version. @param exit_codes what the program's exit codes mean.
/// @return whether one of them was asked for, so that the program has nothing else to do.
bool answer_help(const std::string& name, const boost::program_options::variables_map& values,
                 const boost::program_options::options_description& description,
                 const std::string& exit_codes);

/// Parses options of a program whose first argument, without a name, is the option `first`.
boost::program_options::variables_map parse_with_first(
    int argc, char** argv, const boost::program_options::options_description& description,
    const std::string& first);

}  // namespace sailgate::cli

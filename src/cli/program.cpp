#include "cli/program.hpp"

#include <glog/logging.h>

#include <exception>
#include <iostream>

#include "node/settings_reader.hpp"

namespace sailgate::cli {

namespace options = boost::program_options;

int run_program(const std::string& name, int argc, char** argv,
                const std::function<int(int, char**)>& body) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  google::InstallFailureSignalHandler();
  try {
    return body(argc, argv);
  } catch (const options::error& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kBadUsage;
  } catch (const node::SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kBadUsage;
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kFailure;
  }
}

bool answer_help(const std::string& name, const options::variables_map& values,
                 const options::options_description& description, const std::string& exit_codes) {
  if (values.count("help") > 0) {
    std::cout << description << "exit codes: " << exit_codes << "\n";
    return true;
  }
  if (values.count("version") > 0) {
    std::cout << version_text(name) << "\n";
    return true;
  }
  return false;
}

options::variables_map parse_with_first(int argc, char** argv,
                                        const options::options_description& description,
                                        const std::string& first) {
  options::positional_options_description positional;
  positional.add(first.c_str(), 1);
  options::variables_map values;
  options::store(
      options::command_line_parser(argc, argv).options(description).positional(positional).run(),
      values);
  return values;
}

}  // namespace sailgate::cli

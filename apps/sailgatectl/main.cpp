/// @file sailgatectl: operators prepare, sign and roll bundles, and look at what is in force.

#include <sys/stat.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>

#include "base/digest.hpp"
#include "cli/program.hpp"
#include "configuration/signing.hpp"
#include "http/http_client.hpp"
#include "http/http_server.hpp"
#include "http/json_body.hpp"
#include "node/bundle_file.hpp"
#include "node/settings_reader.hpp"

namespace {

using namespace sailgate;
namespace options = boost::program_options;

constexpr std::size_t kHttpLibraryThreads = 2;
constexpr std::chrono::milliseconds kReadTimeout{5000};
constexpr std::chrono::milliseconds kRollTimeout{25'000};
constexpr mode_t kOwnerOnly = 0600;

std::string read_file(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) throw std::runtime_error(file + " cannot be read");
  std::ostringstream content;
  content << stream.rdbuf();
  return content.str();
}

void write_file(const std::string& file, const std::string& content) {
  std::ofstream stream(file);
  stream << content << "\n";
  if (!stream.flush()) throw std::runtime_error(file + " cannot be written");
}

/// Commands of one invocation.
class Commands {
 public:
  explicit Commands(const options::variables_map& values) : values_(values) {}

  int run(const std::string& command) {
    if (command == "keygen") return keygen();
    if (command == "check") return check();
    if (command == "prepare") return prepare();
    if (command == "sign") return sign();
    if (command == "roll") return roll();
    if (command == "status") return status();
    throw options::error("unknown command '" + command + "'");
  }

 private:
  std::string required(const std::string& name) const {
    if (values_.count(name) == 0) throw options::required_option(name);
    return values_[name].as<std::string>();
  }

  int keygen() {
    const auto pair = configuration::new_key_pair();
    const auto file = required("key");
    write_file(file, base::to_hex(pair.secret_key));
    chmod(file.c_str(), kOwnerOnly);
    std::cout << "public_key = \"" << base::to_hex(pair.public_key) << "\"\n";
    return cli::kSuccess;
  }

  int check() {
    const auto bundle = node::read_bundle_file(required("bundle"));
    std::cout << "bundle of " << bundle.partner << ", version " << bundle.version << ": ok\n";
    return cli::kSuccess;
  }

  int prepare() {
    wire::SignedBundle prepared;
    prepared.bundle = node::read_bundle_file(required("bundle"));
    const auto in_force = http::parse_object(request("GET", {"v1", "configuration"}, ""));
    prepared.bundle.builds_on = http::integer_field(in_force, "generation", 0, INT64_MAX);
    write_file(required("file"), node::to_text(prepared));
    std::cout << "prepared version " << prepared.bundle.version << " of " << prepared.bundle.partner
              << " on generation " << prepared.bundle.builds_on << ", digest "
              << base::to_hex(configuration::bundle_digest(prepared.bundle)) << "\n";
    return cli::kSuccess;
  }

  int sign() {
    const auto file = required("file");
    auto prepared = node::from_text(read_file(file));
    const auto partner = required("partner");
    const auto secret = base::from_hex(read_file(required("key")));
    prepared.signatures.push_back(configuration::sign(prepared.bundle, partner, secret));
    write_file(file, node::to_text(prepared));
    std::cout << partner << " signed version " << prepared.bundle.version << " of "
              << prepared.bundle.partner << ", digest "
              << base::to_hex(configuration::bundle_digest(prepared.bundle)) << "\n";
    return cli::kSuccess;
  }

  int roll() {
    auto body = web::json::value::object();
    const auto prepared = node::from_text(read_file(required("file")));
    body["signed_bundle"] = web::json::value::string(node::to_text(prepared));
    const auto answer =
        http::parse_object(request("POST", {"v1", "configuration"}, body.serialize()));
    std::cout << "in force everywhere as generation " << answer.at("program").as_string() << "\n";
    return cli::kSuccess;
  }

  int status() {
    std::cout << request("GET", {"v1", "status"}, "") << "\n"
              << request("GET", {"v1", "configuration"}, "") << "\n";
    return cli::kSuccess;
  }

  /// @return the body of a successful answer. @throws std::runtime_error with what went wrong.
  std::string request(const std::string& method, const std::vector<std::string>& path,
                      const std::string& body) {
    http::HttpRequest message;
    message.method = method;
    message.path = path;
    message.body = body;
    const bool rolls = method == "POST";
    const auto result =
        client_.send(required("node"), message, rolls ? kRollTimeout : kReadTimeout);
    if (!result.body_complete) {
      throw std::runtime_error("no answer from the node" +
                               std::string(rolls ? "; roll the same file again" : ""));
    }
    if (result.response.status == 200) return result.response.body;
    const auto json = http::parse_object(result.response.body);
    const auto& error = json.at("error");
    std::string text = error.at("kind").as_string() + ": " + error.at("text").as_string();
    if (error.has_field("detail")) text += " " + error.at("detail").as_string();
    throw std::runtime_error(text);
  }

  const options::variables_map& values_;
  http::HttpClient client_;
};

int run(int argc, char** argv) {
  options::options_description description(
      "sailgatectl COMMAND [options]\n"
      "  keygen  --key FILE                        new key pair; prints the public key\n"
      "  check   --bundle FILE                     check a bundle by itself\n"
      "  prepare --bundle FILE --node A --file OUT bind a bundle to the generation in force\n"
      "  sign    --file FILE --partner P --key KEY add a partner's signature\n"
      "  roll    --file FILE --node A              roll out; returns when in force everywhere\n"
      "  status  --node A                          what a node does and what is in force there\n"
      "options");
  auto add = description.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("command", options::value<std::string>(), "what to do");
  add("bundle", options::value<std::string>(), "bundle file (TOML)");
  add("file", options::value<std::string>(), "prepared bundle");
  add("key", options::value<std::string>(), "file with a secret key");
  add("partner", options::value<std::string>(), "partner who signs");
  add("node", options::value<std::string>(), "HTTP address of any node, HOST:PORT");
  const auto values = cli::parse_with_first(argc, argv, description, "command");
  if (cli::answer_help("sailgatectl", values, description,
                       "0 success, 1 refused or failed, 2 bad arguments or bundle")) {
    return cli::kSuccess;
  }
  if (values.count("command") == 0) throw options::error("no command is named");
  http::initialize_http(kHttpLibraryThreads);
  return Commands(values).run(values["command"].as<std::string>());
}

}  // namespace

int main(int argc, char** argv) { return cli::run_program("sailgatectl", argc, argv, run); }

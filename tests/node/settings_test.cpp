#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>

#include "node/bundle_file.hpp"
#include "node/node_settings.hpp"
#include "node/settings_reader.hpp"

using namespace sailgate;
using Catch::Matchers::Contains;

namespace {

/// A file that lives as long as the object.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content)
      : name_("settings_test_" + std::to_string(counter_++) + ".toml") {
    std::ofstream(name_) << content;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(name_.c_str()); }
  const std::string& name() const { return name_; }

 private:
  static int counter_;
  std::string name_;
};

int TemporaryFile::counter_ = 0;

const std::string kGood =
    "host = \"127.0.0.1\"\n"
    "zone = \"z\"\n"
    "table_service = \"127.0.0.1:9000\"\n";

std::string error_of(const std::string& content) {
  const TemporaryFile file(content);
  try {
    node::read_node_settings(file.name());
  } catch (const node::SettingsError& error) {
    return error.what();
  }
  return {};
}

}  // namespace

TEST_CASE("good settings are read", "[settings]") {
  const TemporaryFile file(kGood + "[knobs]\nfamily_parts = 32\n");
  const auto settings = node::read_node_settings(file.name());
  REQUIRE(settings.zone == "z");
  REQUIRE(settings.knobs.family_parts == 32);
}

TEST_CASE("each mistake names file, line and key", "[settings]") {
  REQUIRE_THAT(error_of(kGood + "colour = \"red\"\n"), Contains(":4: colour"));
  REQUIRE_THAT(error_of(kGood + "http_port = \"x\"\n"), Contains(":4: http_port"));
  REQUIRE_THAT(error_of(kGood + "http_port = 70000\n"), Contains(":4: http_port"));
  REQUIRE_THAT(error_of(kGood + "machine_list = \"nowhere\"\n"), Contains(":4: machine_list"));
  REQUIRE_THAT(error_of("zone = \"z\"\n"), Contains("host"));
  REQUIRE_THAT(error_of(kGood + "[knobs]\nconfiguration_poll_ms = 9000\n"),
               Contains("knobs.configuration_poll_ms"));
  REQUIRE_THAT(error_of("host = \n"), Contains(":1: syntax"));
}

TEST_CASE("a missing settings file is an error", "[settings]") {
  REQUIRE_THROWS_AS(node::read_node_settings("there-is-no-such-file.toml"), node::SettingsError);
}

TEST_CASE("a bundle's mistakes name line and key", "[settings]") {
  const TemporaryFile file(
      "partner = \"federation\"\nversion = 1\n[[programs]]\nkind = \"a\"\npriority = 500\n");
  try {
    node::read_bundle_file(file.name());
    FAIL("the bundle was taken");
  } catch (const node::SettingsError& error) {
    REQUIRE_THAT(error.what(), Contains(":5: programs.priority"));
  }
}

TEST_CASE("a damaged prepared bundle is refused", "[settings]") {
  REQUIRE_THROWS(node::from_text("zz"));
  REQUIRE_THROWS(node::from_text("ffffffff"));
  wire::SignedBundle bundle;
  bundle.bundle.partner = "federation";
  REQUIRE(node::from_text(node::to_text(bundle)).bundle.partner == "federation");
}

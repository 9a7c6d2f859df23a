#include "observe/structured_log.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace sailgate;

namespace {

struct Pipe {
  int ends[2] = {-1, -1};
  Pipe() { REQUIRE(::pipe(ends) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string read_all() {
    std::string text(1U << 20U, '\0');
    const auto size = ::read(ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }
};

}  // namespace

TEST_CASE("each line is one JSON object for arbitrary input", "[observe]") {
  Pipe pipe;
  observe::StructuredLog log(pipe.ends[1]);
  log.event("request").with("id", std::string("a\"b\\c\n\x01\xff")).with("elapsed_ms", 7);
  log.flush();
  std::istringstream lines(pipe.read_all());
  std::string line;
  REQUIRE(std::getline(lines, line));
  const auto json = nlohmann::json::parse(line);
  REQUIRE(json["event"] == "request");
  REQUIRE(json["elapsed_ms"] == 7);
  REQUIRE_FALSE(std::getline(lines, line));
}

TEST_CASE("a full pipe drops lines, counts them and never blocks", "[observe]") {
  Pipe pipe;
  observe::StructuredLog log(pipe.ends[1], 4096);
  for (int i = 0; i < 5000; ++i) {
    log.event("request").with("id", std::string(100, 'x'));
    log.flush();
  }
  REQUIRE(log.dropped() > 0);
  const auto text = pipe.read_all();
  REQUIRE(text.size() > 10'000);
  log.flush();
  log.flush();
  REQUIRE(pipe.read_all().find("log_lines_dropped") != std::string::npos);
}

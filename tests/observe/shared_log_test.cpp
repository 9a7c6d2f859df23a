#include "observe/shared_log.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace sailgate;

TEST_CASE("lines from several threads are not interleaved", "[observe]") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  {
    observe::SharedLog log(ends[1]);
    std::vector<std::thread> writers;
    for (int i = 0; i < 4; ++i) {
      writers.emplace_back([&log] {
        for (int n = 0; n < 50; ++n) log.event("tick", [&](auto& line) { line.with("n", n); });
      });
    }
    for (auto& writer : writers) writer.join();
  }
  close(ends[1]);
  std::string text;
  char buffer[4096];
  for (ssize_t got = 0; (got = read(ends[0], buffer, sizeof(buffer))) > 0;) {
    text.append(buffer, static_cast<std::size_t>(got));
  }
  close(ends[0]);
  std::size_t lines = 0;
  for (std::size_t at = 0; at < text.size(); ++lines) {
    const auto end = text.find('\n', at);
    REQUIRE(end != std::string::npos);
    REQUIRE(text.compare(at, 11, "{\"time_ms\":") == 0);
    REQUIRE(text[end - 1] == '}');
    at = end + 1;
  }
  REQUIRE(lines == 200);
}

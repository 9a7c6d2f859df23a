#include "serving/event_scanner.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace sailgate;
using serving::EventScanner;

TEST_CASE("events are parsed independently of how the bytes are split", "[serving]") {
  const std::string stream =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\n: note\nid:3\ndata:three\n\n";
  const bool passed = rc::check("any split gives the same events", [&stream] {
    EventScanner scanner;
    std::vector<serving::StreamEvent> events;
    std::size_t start = 0;
    while (start < stream.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      for (auto& event : scanner.feed(std::string_view(stream).substr(start, length))) {
        events.push_back(std::move(event));
      }
      start += length;
    }
    RC_ASSERT(events.size() == 3U);
    RC_ASSERT(events[0].text == "id: 1\ndata: one\n\n");
    RC_ASSERT(events[1].data == "two\nmore");
    RC_ASSERT(events[2].id == "3");
    RC_ASSERT(events[2].data == "three");
    RC_ASSERT(!scanner.has_partial_event());
  });
  REQUIRE(passed);
}

TEST_CASE("an incomplete event is partial", "[serving]") {
  EventScanner scanner;
  REQUIRE(scanner.feed("id: 1\ndata: on").empty());
  REQUIRE(scanner.has_partial_event());
  REQUIRE(scanner.feed("e\n").empty());
  REQUIRE(scanner.has_partial_event());
  REQUIRE(scanner.feed("\n").size() == 1);
  REQUIRE_FALSE(scanner.has_partial_event());
}

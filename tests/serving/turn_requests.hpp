/// @file Requests for turns, and streams of events that answer them.
#pragma once

#include <string>

#include "support/gateway_fixture.hpp"

namespace sailgate::test {

inline std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

inline EngineReply events(const net::TextRequest& request, int first, int last) {
  std::string bytes = stream_head(request);
  for (int id = first; id <= last; ++id) bytes += event_chunk(id, "d" + std::to_string(id));
  return {bytes + kLastChunk, false, false};
}

inline std::string turn_headers(const std::string& id, const std::string& previous,
                                const std::string& budget = "1000",
                                const std::string& max_tokens = "100") {
  std::string headers = "Sailgate-Request-Id: " + id +
                        "\r\nSailgate-Program: p\r\nSailgate-Token-Budget: " + budget +
                        "\r\nSailgate-Tokens: 10," + max_tokens + "\r\n";
  if (!previous.empty()) headers += "Sailgate-Prev-Turn: " + previous + "\r\n";
  return headers;
}

}  // namespace sailgate::test

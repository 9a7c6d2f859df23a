/// @file Reads responses: interim ones are skipped, and a head that is none of HTTP is an error.
#pragma once

#include <optional>

#include "net/asio.hpp"

namespace sailgate::net {

using ResponseParser = http::response_parser<http::string_body>;

/// Size limits of a response, which bound its memory use.
struct ResponseLimits {
  std::uint32_t head_bytes = 0;
  std::uint64_t body_bytes = 0;
};

/// Reads heads up to that of the final response, which stays in `parser`.
/// @param head_request whether the response has no body whatever its head says.
/// @param head_at set to the time of each head, interim ones too; may be nullptr.
asio::awaitable<Error> read_final_head(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                       std::optional<ResponseParser>& parser, ResponseLimits limits,
                                       bool head_request = false, TimePoint* head_at = nullptr);

/// Reads a response whose body is held in memory.
asio::awaitable<http::response<http::string_body>> read_response(beast::tcp_stream& stream,
                                                                 beast::flat_buffer& buffer,
                                                                 ResponseLimits limits,
                                                                 Error& error);

}  // namespace sailgate::net

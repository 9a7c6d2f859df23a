#include "net/response_reader.hpp"

#include "net/response_head.hpp"

namespace sailgate::net {

namespace {

/// Interim responses to one request; more are an error of the server.
constexpr int kMaxInterimResponses = 16;

}  // namespace

asio::awaitable<Error> read_final_head(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                       std::optional<ResponseParser>& parser, ResponseLimits limits,
                                       bool head_request, TimePoint* head_at) {
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    parser.emplace();
    // NOTE: Boost 1.74 treats an absent limit as zero.
    parser->header_limit(limits.head_bytes);
    parser->body_limit(limits.body_bytes);
    parser->skip(head_request);
    Error error;
    co_await http::async_read_header(stream, buffer, *parser, awaiting(error));
    if (error) co_return error;
    if (head_at != nullptr) *head_at = Clock::now();
    const auto head = classify(parser->get());
    if (head == ResponseHead::kFinal) co_return Error{};
    if (head == ResponseHead::kInvalid) break;
  }
  co_return make_error_code(boost::system::errc::protocol_error);
}

asio::awaitable<http::response<http::string_body>> read_response(beast::tcp_stream& stream,
                                                                 beast::flat_buffer& buffer,
                                                                 ResponseLimits limits,
                                                                 Error& error) {
  std::optional<ResponseParser> parser;
  error = co_await read_final_head(stream, buffer, parser, limits);
  if (!error) co_await http::async_read(stream, buffer, *parser, awaiting(error));
  if (error) co_return http::response<http::string_body>{};
  co_return parser->release();
}

}  // namespace sailgate::net

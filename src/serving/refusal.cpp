#include "serving/refusal.hpp"

#include <cstdio>

namespace sailgate::serving {

namespace {

std::string seconds_text(net::Millis duration) {
  constexpr double kMillisPerSecond = 1000;
  char text[24];
  std::snprintf(text, sizeof(text), "%.3f",
                static_cast<double>(duration.count()) / kMillisPerSecond);
  return text;
}

}  // namespace

net::asio::awaitable<bool> send_refusal(ClientChannel& channel, wire::ErrorKind::type kind,
                                        net::Millis retry_after) {
  const auto& answer = base::error_answer(kind);
  net::http::response_header<> head;
  head.result(static_cast<unsigned>(answer.http_status));
  head.set(net::http::field::content_type, "application/json");
  const bool retry_allowed = answer.retry_rule != base::RetryRule::kNever;
  const auto wait = retry_after.count() > 0 ? retry_after : net::Millis(answer.retry_after);
  if (retry_allowed) head.set(net::http::field::retry_after, seconds_text(wait));
  std::string body = std::string("{\"error\":\"") + answer.name + "\"}\n";
  co_return co_await channel.write_answer(std::move(head), std::move(body), false);
}

}  // namespace sailgate::serving

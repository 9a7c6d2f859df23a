/// @file What every stand-in has in common.
#pragma once

#include <string>

#include "http/http_message.hpp"
#include "http/http_server.hpp"

namespace sailgate::standin {

/// One stand-in behind an HTTP server. handle() is called on many threads.
class Service {
 public:
  Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  virtual ~Service() = default;

  virtual void handle(const http::HttpRequest& request, http::Responder& responder) = 0;
};

/// Whole JSON answer.
http::HttpResponse json_answer(int status, const std::string& body);
/// {"error": what}
http::HttpResponse error_answer(int status, const std::string& what);
/// Whether the path is exactly these segments; "*" matches any one.
bool path_is(const http::HttpRequest& request, std::initializer_list<const char*> segments);

}  // namespace sailgate::standin

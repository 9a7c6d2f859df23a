#include "service.hpp"

#include <cpprest/json.h>

namespace sailgate::standin {

http::HttpResponse json_answer(int status, const std::string& body) {
  http::HttpResponse response;
  response.status = status;
  response.body = body;
  return response;
}

http::HttpResponse error_answer(int status, const std::string& what) {
  auto body = web::json::value::object();
  body["error"] = web::json::value::string(what);
  return json_answer(status, body.serialize());
}

bool path_is(const http::HttpRequest& request, std::initializer_list<const char*> segments) {
  if (request.path.size() != segments.size()) return false;
  std::size_t index = 0;
  for (const auto* segment : segments) {
    const bool any = std::string(segment) == "*";
    if (!any && request.path[index] != segment) return false;
    ++index;
  }
  return true;
}

}  // namespace sailgate::standin

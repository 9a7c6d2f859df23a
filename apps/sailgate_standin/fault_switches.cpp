#include "fault_switches.hpp"

#include "http/json_body.hpp"

namespace sailgate::standin {

FaultSwitches::FaultSwitches(std::initializer_list<const char*> known) {
  for (const auto* name : known) values_[name] = 0;
}

std::int64_t FaultSwitches::get(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return values_.at(name);
}

bool FaultSwitches::take_one(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& value = values_.at(name);
  if (value <= 0) return false;
  --value;
  return true;
}

http::HttpResponse FaultSwitches::handle(const http::HttpRequest& request) {
  http::HttpResponse response;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "POST") {
    try {
      const auto body = http::parse_object(request.body);
      for (const auto& field : body.as_object()) {
        if (values_.count(field.first) == 0) {
          throw http::BadBody(wire::ErrorKind::kMalformedRequest, "no fault " + field.first);
        }
        values_[field.first] = field.second.as_number().to_int64();
      }
    } catch (const std::exception& error) {
      response.status = 400;
      auto body = web::json::value::object();
      body["error"] = web::json::value::string(error.what());
      response.body = body.serialize();
      return response;
    }
  }
  auto body = web::json::value::object();
  for (const auto& [name, value] : values_) body[name] = web::json::value::number(value);
  response.body = body.serialize();
  return response;
}

}  // namespace sailgate::standin

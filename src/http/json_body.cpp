#include "http/json_body.hpp"

#include <cpprest/asyncrt_utils.h>

#include <algorithm>

namespace sailgate::http {
namespace {

using Kind = wire::ErrorKind;

[[noreturn]] void reject(const std::string& name, const std::string& expected) {
  throw BadBody(Kind::kMalformedRequest, "field '" + name + "' must be " + expected);
}

void check_utf8(const std::string& body) {
  try {
    utility::conversions::utf8_to_utf16(body);
  } catch (const std::range_error&) {
    throw BadBody(Kind::kInvalidUtf8, "the body is not valid UTF-8");
  }
}

}  // namespace

web::json::value parse_object(const std::string& body) {
  check_utf8(body);
  std::error_code error;
  auto value = web::json::value::parse(body, error);
  if (error) throw BadBody(Kind::kMalformedRequest, "the body is not valid JSON");
  if (!value.is_object()) throw BadBody(Kind::kMalformedRequest, "the body must be an object");
  return value;
}

std::string string_field(const web::json::value& object, const std::string& name,
                         std::size_t longest) {
  if (!object.has_string_field(name)) reject(name, "a string");
  auto text = object.at(name).as_string();
  if (text.empty() || text.size() > longest) {
    reject(name, "a string of 1 to " + std::to_string(longest) + " bytes");
  }
  return text;
}

std::string string_field_or(const web::json::value& object, const std::string& name,
                            const std::string& fallback, std::size_t longest) {
  return object.has_field(name) ? string_field(object, name, longest) : fallback;
}

std::int64_t integer_field(const web::json::value& object, const std::string& name,
                           std::int64_t lowest, std::int64_t highest) {
  const auto expected =
      "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
  if (!object.has_number_field(name)) reject(name, expected);
  const auto& number = object.at(name).as_number();
  if (!number.is_int64()) reject(name, expected);
  const auto value = number.to_int64();
  if (value < lowest || value > highest) reject(name, expected);
  return value;
}

std::int64_t integer_field_or(const web::json::value& object, const std::string& name,
                              std::int64_t fallback, std::int64_t lowest, std::int64_t highest) {
  return object.has_field(name) ? integer_field(object, name, lowest, highest) : fallback;
}

bool boolean_field_or(const web::json::value& object, const std::string& name, bool fallback) {
  if (!object.has_field(name)) return fallback;
  if (!object.has_boolean_field(name)) reject(name, "true or false");
  return object.at(name).as_bool();
}

void reject_unknown_fields(const web::json::value& object, const std::vector<std::string>& known) {
  for (const auto& field : object.as_object()) {
    if (std::find(known.begin(), known.end(), field.first) == known.end()) {
      throw BadBody(Kind::kMalformedRequest, "unknown field '" + field.first + "'");
    }
  }
}

}  // namespace sailgate::http

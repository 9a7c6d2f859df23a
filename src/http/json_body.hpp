/// @file Typed access to JSON bodies; everything wrong with one becomes a BadBody.
#pragma once

#include <cpprest/json.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "sailgate_types.h"

namespace sailgate::http {

/// A body that cannot be used, with the error kind to answer and a sentence.
class BadBody : public std::runtime_error {
 public:
  BadBody(wire::ErrorKind::type kind, const std::string& what)
      : std::runtime_error(what), kind_(kind) {}
  wire::ErrorKind::type kind() const { return kind_; }

 private:
  wire::ErrorKind::type kind_;
};

/// Parses a body that must be a JSON object in UTF-8. @throws BadBody.
web::json::value parse_object(const std::string& body);

/// Fields of an object; all throw BadBody on a wrong type or range.
std::string string_field(const web::json::value& object, const std::string& name,
                         std::size_t longest);
std::string string_field_or(const web::json::value& object, const std::string& name,
                            const std::string& fallback, std::size_t longest);
std::int64_t integer_field(const web::json::value& object, const std::string& name,
                           std::int64_t lowest, std::int64_t highest);
std::int64_t integer_field_or(const web::json::value& object, const std::string& name,
                              std::int64_t fallback, std::int64_t lowest, std::int64_t highest);
bool boolean_field_or(const web::json::value& object, const std::string& name, bool fallback);
/// @throws BadBody naming the first field that is not in `known`.
void reject_unknown_fields(const web::json::value& object, const std::vector<std::string>& known);

}  // namespace sailgate::http

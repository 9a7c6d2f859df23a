/// @file HTTP values free of the HTTP library, so that few files include it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sailgate::http {

/// Header names are compared as given; this project writes them in lower case.
using Headers = std::map<std::string, std::string>;

/// Request as a server got it or a client sends it.
struct HttpRequest {
  std::string method = "GET";
  std::vector<std::string> path;  ///< decoded segments
  std::string query;              ///< as it came, without the question mark
  Headers headers;                ///< names in lower case
  std::string body;

  /// @return the header's value, or an empty string.
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
  }
};

/// Whole response.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  Headers headers;
  std::string body;
};

}  // namespace sailgate::http

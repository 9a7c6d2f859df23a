#include "tenancy/state_key.hpp"

#include <utility>

namespace sailgate::tenancy {

namespace {

constexpr char kSeparator = '/';

std::string escaped(const std::string& tenant) {
  std::string text;
  for (const char c : tenant) {
    if (c == '%') {
      text += "%25";
    } else if (c == kSeparator) {
      text += "%2F";
    } else {
      text += c;
    }
  }
  return text;
}

}  // namespace

StateKey::StateKey(const std::string& tenant, const std::string& id) {
  if (id.empty()) return;
  const bool needs_separator = !tenant.empty() || id.find(kSeparator) != std::string::npos;
  text_ = needs_separator ? escaped(tenant) + kSeparator + id : id;
}

StateKey StateKey::from_text(std::string text) {
  StateKey key;
  key.text_ = std::move(text);
  return key;
}

}  // namespace sailgate::tenancy

/// @file Keys of what the system keeps for callers.
#pragma once

#include <string>

namespace sailgate::tenancy {

/// Names a program or a turn together with the tenant whose caller named it: callers choose their
/// ids themselves, so two tenants may use the same one. Everything that is kept by such an id
/// (turns, budgets, homes, lines, prompts placed by program) is keyed by this.
///
/// The text is "tenant/id" with "/" and "%" of the tenant's name escaped. Without a tenant it is
/// the id alone, as rows are keyed where no tenants are configured; an id that holds a "/" gets one
/// in front, since no tenant has an empty name. Different pairs have different texts.
class StateKey {
 public:
  StateKey() = default;
  /// @param tenant empty: the caller belongs to none. @param id empty: the key is empty too.
  StateKey(const std::string& tenant, const std::string& id);

  /// A key whose text another node sent.
  static StateKey from_text(std::string text);

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }
  bool operator==(const StateKey& other) const { return text_ == other.text_; }

 private:
  std::string text_;
};

}  // namespace sailgate::tenancy

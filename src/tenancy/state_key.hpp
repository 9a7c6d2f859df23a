/// @file Keys of state that is stored for callers.
#pragma once

#include <string>

namespace sailgate::tenancy {

/// Identifies a program or a turn by the tenant and the id that the tenant's caller chose. Callers
/// choose ids on their own, so two tenants may use the same one. All state stored under such an id
/// (turns, budgets, home nodes, lines, prompt placements by program) uses this key.
///
/// The text is "tenant/id" with "/" and "%" in the tenant's name escaped. Without a tenant it is
/// the id alone, which is the key of rows where no tenants are configured. An id with a "/" is then
/// prefixed with "/", which is unambiguous since no tenant has an empty name. Different pairs of
/// tenant and id have different texts.
class StateKey {
 public:
  StateKey() = default;
  /// @param tenant empty if the caller has none. @param id if empty, the key is empty too.
  StateKey(const std::string& tenant, const std::string& id);

  /// Key from a text that another node sent.
  static StateKey from_text(std::string text);

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }
  bool operator==(const StateKey& other) const { return text_ == other.text_; }

 private:
  std::string text_;
};

}  // namespace sailgate::tenancy

/// @file State of a program family: a root program and all its sub-programs, stored by one
/// conditional write.
///
/// Every change is checked against the state it is applied to. Of two requests that were evaluated
/// on the same state, only one is stored; the other is evaluated again on the new state.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "program/program_rules.hpp"

namespace sailgate::program {

/// Returns the id of the root program, which identifies the family.
std::string family_of(const std::string& program);

/// A request or result text that must be stored or removed.
struct TextChange {
  std::string program;
  std::int32_t sequence = 0;
  bool result = false;   ///< true: the call's result; false: its request body
  bool removed = false;  ///< the call was discarded; remove the text
  std::string text;
};

/// Deterministic value type; not thread-safe. Functions that change the state return kNone, or the
/// reason why the change was rejected.
class FamilyState {
 public:
  using Programs = std::map<std::string, wire::ProgramRecord>;

  explicit FamilyState(std::shared_ptr<const ProgramRules> rules) : rules_(std::move(rules)) {}

  wire::ErrorKind::type open(const wire::ProgramOpened& opened, base::Millis now_unix);
  wire::ErrorKind::type admit(const wire::CallAdmitted& call, base::Millis now_unix);
  wire::ErrorKind::type start(const wire::AttemptStarted& started, base::Millis now_unix);
  wire::ErrorKind::type end(const wire::AttemptEnded& ended, base::Millis now_unix);
  wire::ErrorKind::type close(const wire::ProgramClosed& closed, base::Millis now_unix);
  wire::ErrorKind::type pause(const wire::ToolPauseReported& pause, base::Millis now_unix);
  wire::ErrorKind::type acknowledge_eviction(const wire::EvictionAcknowledged& evicted);
  /// Marks the state as changed, so that the next maintenance time is computed and stored again.
  void reschedule() { changed_ = true; }

  /// Returns what admit() would return, without changing the state.
  wire::ErrorKind::type check_admission(const wire::CallAdmitted& call) const;

  /// @return the record, or nullptr if the program does not exist.
  const wire::ProgramRecord* find(const std::string& program) const;
  /// Whether two requests with the same key are equal in content and sequence, so that the second
  /// is a retry and not a reuse of the key.
  static bool same_request(const wire::CallAdmitted& known, const wire::CallAdmitted& repeated);
  /// @return the call with this key, or nullptr if there is none.
  static const wire::CallRecord* find_call(const wire::ProgramRecord& record,
                                           const std::string& request_key);
  /// @return the finished calls in order.
  /// @throws std::runtime_error if they do not match the record's digest chain; such a history must
  /// never be served.
  static std::vector<wire::Turn> verified_history(const wire::ProgramRecord& record);

  const Programs& programs() const { return programs_; }
  std::int64_t attempts_started() const { return attempts_started_; }
  /// Whether the family has no programs.
  bool empty() const { return programs_.empty(); }
  /// Whether every program has ended, without a running call, an unknown outcome or an outstanding
  /// eviction.
  bool finished() const;

  /// Whether the state has changed since it was loaded or stored.
  bool changed() const { return changed_; }
  /// Whether a program or call was added since the state was loaded or stored.
  bool grew() const { return grew_; }
  const std::vector<TextChange>& text_changes() const { return text_changes_; }
  /// Clears the change tracking after the state has been stored.
  void mark_stored();

  /// Adds a program loaded from the store, including its texts, without marking a change.
  void restore(wire::ProgramRecord record);
  void restore_attempts(std::int64_t attempts_started) { attempts_started_ = attempts_started; }

 private:
  wire::ErrorKind::type check_opening(const wire::ProgramOpened& opened) const;
  static void acquire_reservation(wire::ProgramRecord& record, wire::CallRecord& call);
  static void release_reservation(wire::ProgramRecord& record, wire::CallRecord& call);
  void close_program(wire::ProgramRecord& record, base::Millis now_unix);
  void restore_owed_eviction(wire::ProgramRecord& record, const std::string& backend);
  void discard_call(wire::ProgramRecord& record);
  void finish_call(wire::ProgramRecord& record, wire::CallRecord& call,
                   const wire::AttemptEnded& ended);
  void return_unused_budget(const wire::ProgramRecord& record);
  wire::ProgramRecord* find_mutable(const std::string& program);
  void record_change(wire::ProgramRecord& record, base::Millis now_unix);

  std::shared_ptr<const ProgramRules> rules_;
  Programs programs_;
  std::int64_t attempts_started_ = 0;
  bool changed_ = false;
  bool grew_ = false;
  std::vector<TextChange> text_changes_;
};

}  // namespace sailgate::program

/// @file A root program with all its sub-programs: what one conditional write decides about.
///
/// Every change is checked against the state it is applied to, so that two requests that were
/// decided on the same state cannot both take effect: the later one is decided anew.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "program/program_rules.hpp"

namespace sailgate::program {

/// Root program of a program's family.
std::string family_of(const std::string& program);

/// A text of a call that the store must take, or drop.
struct TextChange {
  std::string program;
  std::int32_t sequence = 0;
  bool result = false;   ///< the call's result; false: its request
  bool removed = false;  ///< the call does not exist any more
  std::string text;
};

/// Value type, deterministic, not thread-safe. Changes return why they were not made, or kNone.
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
  /// Only the time at which somebody must look again changes.
  void postpone() { changed_ = true; }

  /// Says what admit() would answer, without changing anything.
  wire::ErrorKind::type check_admission(const wire::CallAdmitted& call) const;

  /// @return the record, or nullptr when there is no such program.
  const wire::ProgramRecord* find(const std::string& program) const;
  /// Whether a request with a known key is a repetition: its content and sequence are the same.
  static bool same_request(const wire::CallAdmitted& known, const wire::CallAdmitted& repeated);
  /// @return the call with this key, or nullptr.
  static const wire::CallRecord* find_call(const wire::ProgramRecord& record,
                                           const std::string& request_key);
  /// @return the finished calls in order. @throws std::runtime_error when they do not match the
  /// record's digest chain; such a history must never be served.
  static std::vector<wire::Turn> verified_history(const wire::ProgramRecord& record);

  const Programs& programs() const { return programs_; }
  std::int64_t attempts_started() const { return attempts_started_; }
  /// Whether no program is left or ever was.
  bool empty() const { return programs_.empty(); }
  /// Whether every program has ended, runs nothing and owes nothing.
  bool finished() const;

  /// Whether a change was made since the state was loaded or stored.
  bool changed() const { return changed_; }
  /// Whether a program or call was added since then.
  bool grew() const { return grew_; }
  const std::vector<TextChange>& text_changes() const { return text_changes_; }
  /// The store has the state as it is.
  void mark_stored();

  /// Takes a loaded record over, texts included.
  void restore(wire::ProgramRecord record);
  void restore_attempts(std::int64_t attempts_started) { attempts_started_ = attempts_started; }

 private:
  wire::ErrorKind::type check_opening(const wire::ProgramOpened& opened) const;
  static void hold_reservation(wire::ProgramRecord& record, wire::CallRecord& call);
  static void drop_reservation(wire::ProgramRecord& record, wire::CallRecord& call);
  void close_program(wire::ProgramRecord& record, base::Millis now_unix);
  void restore_owed_eviction(wire::ProgramRecord& record, const std::string& backend);
  void release_call(wire::ProgramRecord& record);
  void finish_call(wire::ProgramRecord& record, wire::CallRecord& call,
                   const wire::AttemptEnded& ended);
  void return_unused_budget(const wire::ProgramRecord& record);
  wire::ProgramRecord* find_mutable(const std::string& program);
  void note_change(wire::ProgramRecord& record, base::Millis now_unix);

  std::shared_ptr<const ProgramRules> rules_;
  Programs programs_;
  std::int64_t attempts_started_ = 0;
  bool changed_ = false;
  bool grew_ = false;
  std::vector<TextChange> text_changes_;
};

}  // namespace sailgate::program

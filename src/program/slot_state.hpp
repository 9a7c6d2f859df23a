/// @file State of all programs of one slot, replicated by the slot's group.
///
/// Each journal entry is checked again when it is applied, so that two proposals that passed the
/// leader's look at the same state cannot both take effect. A void entry changes nothing.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "program/program_rules.hpp"
#include "replication/state_machine.hpp"

namespace sailgate::program {

/// Programs of one slot. Not thread-safe; owned by the node's core.
class SlotState : public replication::StateMachine {
 public:
  using Programs = std::map<std::string, wire::ProgramRecord>;

  /// @param state_limit bytes of program state before programs are refused.
  SlotState(std::shared_ptr<const ProgramRules> rules, std::size_t state_limit)
      : rules_(std::move(rules)), state_limit_(state_limit) {}

  wire::ErrorKind::type apply(const wire::JournalEntry& entry) override;
  std::string snapshot() const override;
  void restore(const std::string& bytes) override;

  /// Says what apply() would answer for an admission, without changing anything.
  wire::ErrorKind::type check_admission(const wire::CallAdmitted& call) const;
  /// Same for opening a program.
  wire::ErrorKind::type check_opening(const wire::ProgramOpened& opened) const;

  /// @return the record, or nullptr when the slot has no such program.
  const wire::ProgramRecord* find(const std::string& program) const;
  /// Whether a request with a known key is a repetition: its content and sequence are the same.
  static bool same_request(const wire::CallAdmitted& known, const wire::CallAdmitted& repeated);
  /// @return the call with this key, or nullptr.
  static const wire::CallRecord* find_call(const wire::ProgramRecord& record,
                                           const std::string& request_key);
  /// @return the finished calls in order. @throws std::runtime_error when they do not match the
  /// record's digest chain; such a history must never be served.
  static std::vector<wire::Turn> verified_history(const wire::ProgramRecord& record);

  /// Rows the table service may hold for this slot: the recorded one and later intentions.
  const std::vector<wire::SlotRow>& possible_rows() const { return possible_rows_; }

  /// Configuration in force; only slot 0 carries one.
  const wire::Configuration& configuration() const { return configuration_; }

  const Programs& programs() const { return programs_; }
  /// Bytes of request and answer text held; the bound on memory counts these.
  std::size_t state_bytes() const { return state_bytes_; }

 private:
  wire::ErrorKind::type apply_opened(const wire::ProgramOpened& opened);
  wire::ErrorKind::type apply_admitted(const wire::CallAdmitted& call);
  wire::ErrorKind::type apply_started(const wire::AttemptStarted& started);
  wire::ErrorKind::type apply_ended(const wire::AttemptEnded& ended);
  wire::ErrorKind::type apply_closed(const wire::ProgramClosed& closed);
  wire::ErrorKind::type apply_evicted(const wire::EvictionAcknowledged& evicted);
  wire::ErrorKind::type apply_forgotten(const wire::ProgramForgotten& forgotten);
  wire::ErrorKind::type apply_withdrawn(const wire::CallWithdrawn& withdrawn);
  static void hold_reservation(wire::ProgramRecord& record, wire::CallRecord& call);
  static void drop_reservation(wire::ProgramRecord& record, wire::CallRecord& call);
  void close_program(wire::ProgramRecord& record);
  void owe_eviction_again(wire::ProgramRecord& record, const std::string& backend);
  wire::ErrorKind::type apply_configuration(const wire::ConfigurationAccepted& accepted);
  void release_call(wire::ProgramRecord& record);
  void finish_call(wire::ProgramRecord& record, wire::CallRecord& call,
                   const wire::AttemptEnded& ended);
  void return_unused_budget(const wire::ProgramRecord& record);
  wire::ProgramRecord* find_mutable(const std::string& program);

  std::shared_ptr<const ProgramRules> rules_;
  std::size_t state_limit_;
  std::size_t state_bytes_ = 0;
  Programs programs_;
  std::vector<wire::SlotRow> possible_rows_;
  wire::Configuration configuration_;
};

}  // namespace sailgate::program

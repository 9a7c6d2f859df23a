/// @file Builders for the unions that hold their value by reference.
#pragma once

#include <memory>
#include <utility>

#include "sailgate_types.h"

namespace sailgate::wire {

/// Journal entry of one kind.
inline JournalEntry as_entry(ProgramOpened value) {
  JournalEntry entry;
  entry.__set_program_opened(std::make_shared<ProgramOpened>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(CallAdmitted value) {
  JournalEntry entry;
  entry.__set_call_admitted(std::make_shared<CallAdmitted>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(AttemptStarted value) {
  JournalEntry entry;
  entry.__set_attempt_started(std::make_shared<AttemptStarted>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(AttemptEnded value) {
  JournalEntry entry;
  entry.__set_attempt_ended(std::make_shared<AttemptEnded>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(ToolPauseReported value) {
  JournalEntry entry;
  entry.__set_tool_pause_reported(std::make_shared<ToolPauseReported>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(ProgramClosed value) {
  JournalEntry entry;
  entry.__set_program_closed(std::make_shared<ProgramClosed>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(EvictionAcknowledged value) {
  JournalEntry entry;
  entry.__set_eviction_acknowledged(std::make_shared<EvictionAcknowledged>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(MembersChanged value) {
  JournalEntry entry;
  entry.__set_members_changed(std::make_shared<MembersChanged>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(ViewStarted value) {
  JournalEntry entry;
  entry.__set_view_started(std::make_shared<ViewStarted>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(ProgramForgotten value) {
  JournalEntry entry;
  entry.__set_program_forgotten(std::make_shared<ProgramForgotten>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(RowIntended value) {
  JournalEntry entry;
  entry.__set_row_intended(std::make_shared<RowIntended>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(RowRecorded value) {
  JournalEntry entry;
  entry.__set_row_recorded(std::make_shared<RowRecorded>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(CallWithdrawn value) {
  JournalEntry entry;
  entry.__set_call_withdrawn(std::make_shared<CallWithdrawn>(std::move(value)));
  return entry;
}
inline JournalEntry as_entry(ConfigurationAccepted value) {
  JournalEntry entry;
  entry.__set_configuration_accepted(std::make_shared<ConfigurationAccepted>(std::move(value)));
  return entry;
}

/// Body of a message between replicas.
inline GroupBody as_body(AppendRequest value) {
  GroupBody body;
  body.__set_append_request(std::make_shared<AppendRequest>(std::move(value)));
  return body;
}
inline GroupBody as_body(AppendReply value) {
  GroupBody body;
  body.__set_append_reply(std::make_shared<AppendReply>(std::move(value)));
  return body;
}
inline GroupBody as_body(VoteRequest value) {
  GroupBody body;
  body.__set_vote_request(std::make_shared<VoteRequest>(std::move(value)));
  return body;
}
inline GroupBody as_body(VoteReply value) {
  GroupBody body;
  body.__set_vote_reply(std::make_shared<VoteReply>(std::move(value)));
  return body;
}
inline GroupBody as_body(InstallSnapshot value) {
  GroupBody body;
  body.__set_install_snapshot(std::make_shared<InstallSnapshot>(std::move(value)));
  return body;
}
inline GroupBody as_body(ElectNow value) {
  GroupBody body;
  body.__set_elect_now(std::make_shared<ElectNow>(std::move(value)));
  return body;
}
inline GroupBody as_body(Removed value) {
  GroupBody body;
  body.__set_removed(std::make_shared<Removed>(std::move(value)));
  return body;
}

}  // namespace sailgate::wire

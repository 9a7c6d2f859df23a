/// @file What the node's core asks its shell to do.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "membership/membership.hpp"
#include "sailgate_types.h"

namespace sailgate::node {

/// Names a program request handed to the core until its reply comes out.
using Ticket = std::int64_t;

/// Reply to a program request.
struct CompletedRequest {
  Ticket ticket = 0;
  wire::ProgramReply reply;
};

/// Reads or conditionally writes a slot's row in the table service.
struct TableCommand {
  std::int32_t slot = 0;
  bool write = false;
  std::int64_t expected_version = 0;  ///< 0: the row must not exist
  wire::SlotRow row;                  ///< for a write
};

enum class TableStatus {
  kFound,     ///< read: the row and its version follow; write: it took effect
  kAbsent,    ///< read: there is no row
  kConflict,  ///< write: the version was another one; nothing changed
  kNoAnswer,  ///< the service did not answer; a write may or may not have taken effect
};

/// Answer to a TableCommand.
struct TableAnswer {
  std::int32_t slot = 0;
  bool write = false;
  TableStatus status = TableStatus::kNoAnswer;
  std::int64_t version = 0;
  wire::SlotRow row;
};

/// Tells an engine to drop what it holds for an ended program.
struct EvictionOrder {
  std::int32_t slot = 0;
  std::string program;
  std::string backend;
};

/// Asks an application engine what became of an attempt, and to refuse it if it never came.
struct OutcomeInquiry {
  std::int32_t slot = 0;
  std::string program;
  std::int32_t sequence = 0;
  std::int64_t attempt = 0;
  std::string backend;
  std::string request_key;
};

/// What the application engine said to an OutcomeInquiry.
struct InquiryAnswer {
  enum class Verdict { kRan, kNotRun, kOpen };
  OutcomeInquiry inquiry;
  Verdict verdict = Verdict::kOpen;
  wire::ErrorKind::type error = wire::ErrorKind::kNone;
  std::string result;
};

/// Tells an engine to stop an attempt whose gateway is gone.
struct CancelOrder {
  std::string backend;
  std::int64_t attempt = 0;
};

/// Asks the configuration authority for a lease.
struct LeaseRequest {
  wire::RenewConfigurationLease request;
  base::Millis asked_at = 0;
};

/// Everything one step of the core produced.
struct NodeActions {
  std::vector<membership::Membership::Outgoing> envelopes;
  std::vector<CompletedRequest> completed;
  std::vector<TableCommand> table;
  std::vector<EvictionOrder> evictions;
  std::vector<OutcomeInquiry> inquiries;
  std::vector<CancelOrder> cancels;
  std::vector<LeaseRequest> lease_requests;
};

}  // namespace sailgate::node

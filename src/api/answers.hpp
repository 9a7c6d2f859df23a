/// @file JSON answers to callers; the formats are in docs/API.md.
#pragma once

#include <string>

#include "http/http_message.hpp"
#include "sailgate_types.h"

namespace sailgate::api {

/// Answer for a refusal: status and text from the error table.
http::HttpResponse refusal_answer(const wire::Refusal& refusal, const std::string& detail = "");
/// Same, with everything from the error table.
http::HttpResponse refusal_answer(wire::ErrorKind::type kind, const std::string& detail = "");
/// Answer for the outcome of a call.
http::HttpResponse outcome_answer(const wire::CallOutcome& outcome);
/// Answer for a program's standing and history.
http::HttpResponse view_answer(const wire::ProgramView& view);
/// Answer for the configuration in force on a node.
http::HttpResponse configuration_answer(const wire::Configuration& configuration, bool live);
http::HttpResponse accepted_answer(const std::string& program, int status);
/// Answer for any reply that is final.
http::HttpResponse reply_answer(const wire::ProgramReply& reply);

/// One server-sent event.
std::string event_text(const std::string& name, const std::string& json);
std::string piece_event(const std::string& piece);

}  // namespace sailgate::api

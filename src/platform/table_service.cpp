#include "platform/table_service.hpp"

#include <cpprest/json.h>

#include <utility>

#include "base/digest.hpp"
#include "wire/codec.hpp"

namespace sailgate::platform {
namespace {

using node::TableStatus;
using web::json::value;

constexpr std::chrono::milliseconds kTimeout{1500};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

void take_row(const std::string& body, node::TableAnswer& answer) {
  const auto json = value::parse(body);
  answer.version = json.at("version").as_number().to_int64();
  answer.row = wire::decode<wire::SlotRow>(base::from_hex(json.at("value").as_string()));
}

}  // namespace

HttpTableService::HttpTableService(http::HttpClient& client, std::string address)
    : client_(client), address_(std::move(address)) {}

node::TableAnswer HttpTableService::execute(const node::TableCommand& command) {
  node::TableAnswer answer;
  answer.slot = command.slot;
  answer.write = command.write;
  answer.row = command.row;
  http::HttpRequest request;
  request.method = command.write ? "PUT" : "GET";
  request.path = {"v1", "rows", "slot-" + std::to_string(command.slot)};
  if (command.write) {
    auto body = value::object();
    body["expected_version"] = value::number(command.expected_version);
    body["value"] = value::string(base::to_hex(wire::encode(command.row)));
    request.body = body.serialize();
  }
  const auto result = client_.send(address_, request, kTimeout);
  if (result.delivery != http::Delivery::kAnswered || !result.body_complete) return answer;
  try {
    if (result.response.status == kOk) {
      take_row(result.response.body, answer);
      answer.status = TableStatus::kFound;
    } else if (result.response.status == kNotFound && !command.write) {
      answer.status = TableStatus::kAbsent;
    } else if (result.response.status == kConflict && command.write) {
      answer.status = TableStatus::kConflict;
    }
  } catch (const std::exception&) {
    // A damaged answer says nothing about the write.
    answer.status = TableStatus::kNoAnswer;
  }
  return answer;
}

}  // namespace sailgate::platform

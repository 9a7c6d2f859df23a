#include "backend/machine_list.hpp"

#include <cpprest/json.h>

#include <utility>

namespace sailgate::backend {
namespace {

constexpr std::chrono::milliseconds kTimeout{1500};

}  // namespace

HttpMachineList::HttpMachineList(http::HttpClient& client, std::string address)
    : client_(client), address_(std::move(address)) {}

std::vector<Machine> HttpMachineList::read() {
  http::HttpRequest request;
  request.path = {"v1", "machines"};
  const auto result = client_.send(address_, request, kTimeout);
  if (!result.body_complete || result.response.status != 200) return {};
  std::vector<Machine> machines;
  try {
    const auto body = web::json::value::parse(result.response.body);
    for (const auto& entry : body.at("machines").as_array()) {
      Machine machine;
      machine.address = entry.at("address").as_string();
      machine.leaving = entry.at("state").as_string() == "leaving";
      machines.push_back(std::move(machine));
    }
  } catch (const std::exception&) {
    return {};
  }
  return machines;
}

}  // namespace sailgate::backend

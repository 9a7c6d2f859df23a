#include "object_store.hpp"

#include <chrono>
#include <thread>

#include "http/json_body.hpp"

namespace sailgate::standin {
namespace {

constexpr std::chrono::seconds kHang{30};

}  // namespace

ObjectStoreStandIn::ObjectStoreStandIn() : faults_({"down", "slow_ms", "lose_next"}) {}

void ObjectStoreStandIn::handle(const http::HttpRequest& request, http::Responder& responder) {
  if (path_is(request, {"faults"})) return responder.send(faults_.handle(request));
  if (!path_is(request, {"v1", "objects", "*"})) {
    return responder.send(error_answer(404, "unknown resource"));
  }
  if (faults_.get("down") != 0) return responder.send(error_answer(500, "down"));
  std::this_thread::sleep_for(std::chrono::milliseconds(faults_.get("slow_ms")));
  const auto answer = execute(request);
  if (request.method != "GET" && faults_.take_one("lose_next")) {
    std::this_thread::sleep_for(kHang);
    return;
  }
  responder.send(answer);
}

http::HttpResponse ObjectStoreStandIn::execute(const http::HttpRequest& request) {
  const auto& name = request.path[2];
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "PUT") {
    objects_[name] = request.body;
    return json_answer(200, "{}");
  }
  if (request.method == "DELETE") {
    objects_.erase(name);
    return json_answer(200, "{}");
  }
  const auto found = objects_.find(name);
  if (found == objects_.end()) return error_answer(404, "no such object");
  http::HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = found->second;
  return response;
}

MachineListStandIn::MachineListStandIn() : faults_({"down", "slow_ms"}) {}

void MachineListStandIn::handle(const http::HttpRequest& request, http::Responder& responder) {
  if (path_is(request, {"faults"})) return responder.send(faults_.handle(request));
  if (!path_is(request, {"v1", "machines"})) {
    return responder.send(error_answer(404, "unknown resource"));
  }
  if (faults_.get("down") != 0) return responder.send(error_answer(500, "down"));
  std::this_thread::sleep_for(std::chrono::milliseconds(faults_.get("slow_ms")));
  try {
    if (request.method == "PUT") http::parse_object(request.body).at("machines").as_array();
  } catch (const std::exception& error) {
    return responder.send(error_answer(400, error.what()));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "PUT") list_ = request.body;
  responder.send(json_answer(200, list_));
}

}  // namespace sailgate::standin

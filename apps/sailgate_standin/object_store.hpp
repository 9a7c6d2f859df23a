/// @file Stand-in object store and machine list: named documents.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "fault_switches.hpp"
#include "service.hpp"

namespace sailgate::standin {

/// Objects under /v1/objects/{name}: PUT, GET, DELETE. Faults: down, slow_ms, lose_next.
class ObjectStoreStandIn : public Service {
 public:
  ObjectStoreStandIn();
  void handle(const http::HttpRequest& request, http::Responder& responder) override;

 private:
  http::HttpResponse execute(const http::HttpRequest& request);

  FaultSwitches faults_;
  std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

/// GET /v1/machines; PUT /v1/machines replaces the list, as the platform would.
class MachineListStandIn : public Service {
 public:
  MachineListStandIn();
  void handle(const http::HttpRequest& request, http::Responder& responder) override;

 private:
  FaultSwitches faults_;
  std::mutex mutex_;
  std::string list_ = R"({"machines":[]})";
};

}  // namespace sailgate::standin

/// @file Access to a lagging list of live and leaving machines.
#pragma once

#include <string>
#include <vector>

#include "http/http_client.hpp"

namespace sailgate::backend {

/// One machine as the list shows it.
struct Machine {
  std::string address;  ///< "host:port" of the process on it
  bool leaving = false;
};

/// Source of the list. Implementations are thread-safe and may block.
class MachineList {
 public:
  MachineList() = default;
  MachineList(const MachineList&) = delete;
  MachineList& operator=(const MachineList&) = delete;
  virtual ~MachineList() = default;

  /// @return the list, or nothing known (empty) when it cannot be read; never throws.
  virtual std::vector<Machine> read() = 0;
};

/// The wire format of docs/API.md, "Machine list".
class HttpMachineList : public MachineList {
 public:
  HttpMachineList(http::HttpClient& client, std::string address);
  std::vector<Machine> read() override;

 private:
  http::HttpClient& client_;
  std::string address_;
};

}  // namespace sailgate::backend

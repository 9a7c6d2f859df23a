/// @file Access to the platform's transactional table service.
#pragma once

#include <memory>
#include <string>

#include "http/http_client.hpp"
#include "node/core/node_actions.hpp"

namespace sailgate::platform {

/// Rows with compare-and-set. Implementations are thread-safe and may block.
class TableService {
 public:
  TableService() = default;
  TableService(const TableService&) = delete;
  TableService& operator=(const TableService&) = delete;
  virtual ~TableService() = default;

  /// Carries out one command; never throws.
  virtual node::TableAnswer execute(const node::TableCommand& command) = 0;
};

/// The wire format of docs/API.md, "Table service".
class HttpTableService : public TableService {
 public:
  /// @param address "host:port"
  HttpTableService(http::HttpClient& client, std::string address);
  node::TableAnswer execute(const node::TableCommand& command) override;

 private:
  http::HttpClient& client_;
  std::string address_;
};

}  // namespace sailgate::platform

/// @file Adapters to engines, application engines and tools: the wire formats of docs/API.md.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "backend/call_content.hpp"
#include "gateway/core/call_flow.hpp"
#include "http/http_client.hpp"
#include "node/core/node_actions.hpp"

namespace sailgate::backend {

/// Load report of an engine.
struct LoadReport {
  std::int32_t running = 0;
  bool draining = false;
};

/// Calls to back ends. Implementations are thread-safe and may block.
class BackendClient {
 public:
  /// Gets each piece of a streamed answer; returns false when the caller is gone.
  using PieceHandler = std::function<bool(const std::string& piece)>;

  BackendClient() = default;
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;
  virtual ~BackendClient() = default;

  /// Runs one attempt to its end or the deadline. Never throws.
  virtual gateway::DispatchResult run(const AttemptOrder& order, std::chrono::milliseconds deadline,
                                      const PieceHandler& on_piece) = 0;
  /// @return whether the engine confirmed that it holds nothing of the program.
  virtual bool evict(const node::EvictionOrder& order) = 0;
  virtual void cancel(const node::CancelOrder& order) = 0;
  virtual node::InquiryAnswer inquire(const node::OutcomeInquiry& inquiry) = 0;
  /// @return nothing when the back end does not answer.
  virtual std::optional<LoadReport> load(const std::string& backend) = 0;
};

/// HTTP adapters.
class HttpBackendClient : public BackendClient {
 public:
  explicit HttpBackendClient(http::HttpClient& client) : client_(client) {}

  gateway::DispatchResult run(const AttemptOrder& order, std::chrono::milliseconds deadline,
                              const PieceHandler& on_piece) override;
  bool evict(const node::EvictionOrder& order) override;
  void cancel(const node::CancelOrder& order) override;
  node::InquiryAnswer inquire(const node::OutcomeInquiry& inquiry) override;
  std::optional<LoadReport> load(const std::string& backend) override;

 private:
  gateway::DispatchResult run_on_engine(const AttemptOrder& order,
                                        std::chrono::milliseconds deadline,
                                        const PieceHandler& on_piece);
  gateway::DispatchResult run_on_service(const AttemptOrder& order,
                                         std::chrono::milliseconds deadline);

  http::HttpClient& client_;
};

}  // namespace sailgate::backend

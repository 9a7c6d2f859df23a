/// @file Adapters to engines, application engines and tools: the wire formats of docs/API.md.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "api/call_flow.hpp"
#include "backend/call_content.hpp"
#include "http/http_client.hpp"
#include "program/due_work.hpp"

namespace sailgate::backend {

/// Load report of an engine.
struct LoadReport {
  std::int32_t running = 0;
  bool draining = false;
};

/// What a process says about an attempt it is to be running.
enum class AttemptState { kRunning, kNotRunning, kNoAnswer };

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
  virtual api::DispatchResult run(const AttemptOrder& order, std::chrono::milliseconds deadline,
                                  const PieceHandler& on_piece) = 0;
  /// @return whether the engine confirmed that it holds nothing of the program.
  virtual bool evict(const program::EvictionRequest& order) = 0;
  virtual void cancel(const program::CancelRequest& order) = 0;
  virtual program::InquiryAnswer inquire(const program::OutcomeInquiry& inquiry) = 0;
  /// Asks another process of sailgate. One that cannot be connected to runs nothing.
  virtual AttemptState ask_gateway(const program::GatewayCheck& check) = 0;
  /// @return nothing when the back end does not answer.
  virtual std::optional<LoadReport> load(const std::string& backend) = 0;
};

/// HTTP adapters.
class HttpBackendClient : public BackendClient {
 public:
  explicit HttpBackendClient(http::HttpClient& client) : client_(client) {}

  api::DispatchResult run(const AttemptOrder& order, std::chrono::milliseconds deadline,
                          const PieceHandler& on_piece) override;
  bool evict(const program::EvictionRequest& order) override;
  void cancel(const program::CancelRequest& order) override;
  program::InquiryAnswer inquire(const program::OutcomeInquiry& inquiry) override;
  AttemptState ask_gateway(const program::GatewayCheck& check) override;
  std::optional<LoadReport> load(const std::string& backend) override;

 private:
  api::DispatchResult run_on_engine(const AttemptOrder& order, std::chrono::milliseconds deadline,
                                    const PieceHandler& on_piece);
  api::DispatchResult run_on_service(const AttemptOrder& order, std::chrono::milliseconds deadline);

  http::HttpClient& client_;
};

}  // namespace sailgate::backend

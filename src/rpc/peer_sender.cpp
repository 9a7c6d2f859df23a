#include "rpc/peer_sender.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <thread>
#include <utility>

#include "Node.h"
#include "rpc/transport_limits.hpp"

namespace sailgate::rpc {
namespace {

namespace thrift = apache::thrift;

constexpr std::size_t kQueueLimit = 1024;
/// After a failed connection, envelopes are dropped for this long.
constexpr std::chrono::milliseconds kReconnectPause{200};
/// A channel without traffic for this long closes its connection.
constexpr std::chrono::seconds kIdleClose{30};

/// Socket that counts what it sends, so that no message is encoded twice to be measured.
class CountingSocket : public thrift::transport::TSocket {
 public:
  /// @param sent_bytes must outlive the socket.
  CountingSocket(const membership::Address& address, std::atomic<std::uint64_t>& sent_bytes)
      : TSocket(address.host, address.port), sent_bytes_(sent_bytes) {}

  void write(const std::uint8_t* bytes, std::uint32_t length) override {
    TSocket::write(bytes, length);
    sent_bytes_ += length;
  }

 private:
  std::atomic<std::uint64_t>& sent_bytes_;
};

}  // namespace

class PeerSender::Channel {
 public:
  explicit Channel(membership::Address address)
      : address_(std::move(address)), thread_([this] { run(); }) {}
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }

  void push(wire::Envelope envelope) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (queue_.size() >= kQueueLimit) {
        queue_.pop_front();
        ++dropped_;
      }
      queue_.push_back(std::move(envelope));
    }
    wake_.notify_one();
  }

  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  void run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      const bool woken =
          wake_.wait_for(lock, kIdleClose, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) return;
      if (!woken) {
        client_.reset();
        continue;
      }
      auto envelope = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      deliver(envelope);
      lock.lock();
    }
  }

  void deliver(const wire::Envelope& envelope) {
    if (!client_ && !connect()) {
      ++dropped_;
      return;
    }
    try {
      client_->deliver(envelope);
      ++sent_;
    } catch (const std::exception&) {
      client_.reset();
      ++dropped_;
    }
  }

  bool connect() {
    const auto now = std::chrono::steady_clock::now();
    if (now < retry_at_) return false;
    try {
      auto socket = std::make_shared<CountingSocket>(address_, sent_bytes_);
      socket->setConnTimeout(kConnectTimeoutMillis);
      socket->setSendTimeout(kSendTimeoutMillis);
      socket->setNoDelay(true);
      socket->open();
      auto transport =
          std::make_shared<thrift::transport::TFramedTransport>(socket, transport_limits());
      client_ = std::make_unique<wire::NodeClient>(
          std::make_shared<thrift::protocol::TCompactProtocol>(transport));
      return true;
    } catch (const std::exception&) {
      retry_at_ = now + kReconnectPause;
      return false;
    }
  }

  membership::Address address_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<wire::Envelope> queue_;
  bool stopping_ = false;
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<std::uint64_t> sent_{0};
  std::atomic<std::uint64_t> sent_bytes_{0};
  // Used by the channel's thread only.
  std::unique_ptr<wire::NodeClient> client_;
  std::chrono::steady_clock::time_point retry_at_;
  std::thread thread_;  // last: starts when the rest stands
};

PeerSender::PeerSender() = default;
PeerSender::~PeerSender() = default;

void PeerSender::send(const membership::Address& address, wire::Envelope envelope) {
  const auto key = address.host + ':' + std::to_string(address.port);
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& channel = channels_[key];
  if (!channel) channel = std::make_unique<Channel>(address);
  channel->push(std::move(envelope));
}

std::uint64_t PeerSender::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t total = 0;
  for (const auto& [key, channel] : channels_) total += channel->dropped();
  return total;
}

std::uint64_t PeerSender::sent() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t total = 0;
  for (const auto& [key, channel] : channels_) total += channel->sent();
  return total;
}

std::uint64_t PeerSender::sent_bytes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t total = 0;
  for (const auto& [key, channel] : channels_) total += channel->sent_bytes();
  return total;
}

}  // namespace sailgate::rpc

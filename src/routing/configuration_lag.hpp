/// @file For how long a node has been behind the newest configuration that it knows to exist.
#pragma once

#include <cstdint>
#include <optional>

#include "net/asio.hpp"

namespace sailgate::routing {

/// Performs no I/O. Not thread-safe.
class ConfigurationLag {
 public:
  /// @param in_force version on this node. @param newest newest version that any node knows of.
  /// @return the length of a lag that has ended with this call; nullopt if none has.
  std::optional<net::Millis> update(std::int64_t in_force, std::int64_t newest,
                                    net::TimePoint now) {
    const bool behind = in_force < newest;
    if (behind && !behind_since_) behind_since_ = now;
    if (behind || !behind_since_) return std::nullopt;
    const auto lag = std::chrono::duration_cast<net::Millis>(now - *behind_since_);
    behind_since_.reset();
    return lag;
  }

  /// Time for which this node has been behind; 0 if it is not.
  net::Millis behind_for(net::TimePoint now) const {
    if (!behind_since_) return net::Millis(0);
    return std::chrono::duration_cast<net::Millis>(now - *behind_since_);
  }

 private:
  std::optional<net::TimePoint> behind_since_;
};

}  // namespace sailgate::routing

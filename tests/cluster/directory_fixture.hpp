/// @file Fixture with a node's directory that holds one peer in its zone and one in another.
#pragma once

#include <string>

#include "cluster/peer_directory.hpp"

namespace sailgate::test {

constexpr net::Millis kSilence{800};
constexpr net::Millis kWindow{5000};

inline wire::PeerRow row(std::int64_t incarnation, const std::string& zone) {
  wire::PeerRow row;
  row.incarnation = incarnation;
  row.zone = zone;
  row.address = "127.0.0.1";
  row.port = 7000;
  return row;
}

inline wire::Beacon beacon(std::int64_t incarnation, bool reaches_store = true) {
  wire::Beacon message;
  message.incarnation = incarnation;
  message.reaches_store = reaches_store;
  return message;
}

struct DirectoryFixture {
  net::TimePoint now = net::Clock::now();
  cluster::PeerDirectory directory{"self", "here"};
  DirectoryFixture() {
    directory.put("near", row(1, "here"), now);
    directory.put("far", row(2, "there"), now);
  }
};

}  // namespace sailgate::test

/// @file Thrift compact encoding of wire types to and from strings.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <string>

namespace sailgate::wire {

/// @return `value` in Thrift's compact encoding.
template <typename Value>
std::string encode(const Value& value) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// @throws apache::thrift::TException when `bytes` is not a valid encoding.
template <typename Value>
Value decode(const std::string& bytes) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                static_cast<std::uint32_t>(bytes.size()));
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  Value value;
  value.read(&protocol);
  return value;
}

}  // namespace sailgate::wire

#pragma once

#include <cstdint>
#include <ostream>
#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** An IPv4 address and a TCP port. */
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.address == b.address && a.port == b.port;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.address != b.address ? a.address < b.address : a.port < b.port;
  }
};

/** @returns "address:port" */
std::string ToString(const Endpoint& endpoint);

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint);

/** Parses "address:port".
    @param text  an IPv4 address, a colon and a port from 1 to 65535
    @returns the endpoint, or ErrorCode::kInvalid with the reason */
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace cumin

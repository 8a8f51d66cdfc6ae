#include "cumin_core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace cumin {

namespace {

constexpr unsigned kMaxPort = 65535;

Error BadEndpoint(const std::string& text) {
  return Error{ErrorCode::kInvalid, "", 0, "",
               "\"" + text +
                   "\" is not an IPv4 number, a colon and a port from 1 to "
                   "65535"};
}

bool IsIpv4Address(const std::string& text) {
  in_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint) {
  return out << ToString(endpoint);
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return BadEndpoint(text);
  }
  const std::string address = text.substr(0, colon);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || port == 0 || port > kMaxPort || !IsIpv4Address(address)) {
    return BadEndpoint(text);
  }
  return Endpoint{address, static_cast<std::uint16_t>(port)};
}

}  // namespace cumin

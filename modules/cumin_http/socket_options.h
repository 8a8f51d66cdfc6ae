#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "cumin_core/endpoint.h"
#include "cumin_core/time.h"

namespace cumin {

/** How fast TCP detects that the peer of a connection is dead. */
struct TcpLivenessOptions {
  /** The connection is reset when sent data stays unacknowledged for this long
      (TCP_USER_TIMEOUT). */
  Duration user_timeout = std::chrono::milliseconds(1000);
  /** Idle time before the first keep-alive probe, and between probes; the
      kernel's resolution is one second. */
  Duration probe_interval = std::chrono::seconds(1);
  /** Unacknowledged keep-alive probes after which the connection is reset. */
  int probe_count = 2;
};

/** Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT.
    @param socket  an open socket */
void SetTcpOptions(boost::asio::ip::tcp::socket& socket,
                   const TcpLivenessOptions& options);

/** @returns true when the socket has unread bytes or was closed or reset by the
    peer, so that no new exchange may start on it */
bool HasUnexpectedInput(boost::asio::ip::tcp::socket& socket);

/** @returns true when the peer has closed or reset the connection and no unread
    bytes are left */
bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket);

/** @returns the endpoint in Asio's form
    @param endpoint  a valid IPv4 address and port */
boost::asio::ip::tcp::endpoint ToTcp(const Endpoint& endpoint);

}  // namespace cumin

#pragma once

#include "cumin_core/endpoint.h"
#include "cumin_http/asio.h"

namespace cumin {

/** What a server's address does with a new connection. */
enum class ConnectProbe {
  kAccepted,
  /** No process listens at the address. */
  kRefused,
  /** Nothing was heard in time, or the connection failed otherwise. */
  kUnknown,
};

/** Opens a connection and closes it again without sending anything. */
Task<ConnectProbe> ProbeConnect(Endpoint to, Duration timeout);

}  // namespace cumin

#pragma once

#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_http/asio.h"

namespace cumin::test {

/** A fault of a network link. */
enum class LinkFault {
  kNone,
  /** Bytes are delayed in both directions. */
  kDelayed,
  /** Open connections and new ones are reset. */
  kReset,
  /** Bytes are held back in both directions; connections stay open. */
  kSilent,
  /** Bytes from the connecting side pass; those in the other direction are
      held back. */
  kOneWay,
  /** Open connections are reset and new ones refused, as if the server's
      process had ended. */
  kRefused,
};

/** @returns the fault's name in lower case, with hyphens */
const char* ToString(LinkFault fault);

/** A loopback TCP proxy between two programs that injects link faults.

    When a fault that holds bytes back ends, the connections are reset, so that
    bytes that their sender has given up on are not delivered late. All calls
    are made on the thread of one event loop.
*/
class FaultProxy {
 public:
  /** @param executor  the executor of the event loop
      @param to        the address to which connections are forwarded */
  FaultProxy(const asio::any_io_executor& executor, Endpoint to);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /** Listens on a free loopback port.
      @returns the address, or kUnavailable when it can't listen */
  Result<Endpoint> Start();

  /** Applies a fault to the link from now on; kNone ends the fault. */
  void SetFault(LinkFault fault);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace cumin::test

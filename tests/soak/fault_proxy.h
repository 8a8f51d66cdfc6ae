#pragma once

#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_http/asio.h"

namespace cumin::test {

/** What is wrong with a link. */
enum class LinkFault {
  kNone,
  /** Bytes come late, both ways. */
  kDelayed,
  /** Connections are reset, new ones too. */
  kReset,
  /** Bytes stay away both ways and nobody is told. */
  kSilent,
  /** Only bytes of the side that connected arrive. */
  kOneWay,
};

/** @returns the fault's name in lower case with dashes */
const char* ToString(LinkFault fault);

/** A loopback proxy between two programs that spoils what passes.

    A link that was silent is reset at the end of its fault, so that nothing
    arrives which its sender has long given up. Runs on one event loop.
*/
class FaultProxy {
 public:
  /** @param executor  of the loop
      @param to        where connections are passed on to */
  FaultProxy(const asio::any_io_executor& executor, Endpoint to);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /** Listens on a free port.
      @returns its address, or kUnavailable */
  Result<Endpoint> Start();

  /** Spoils the link from now on; kNone mends it. */
  void SetFault(LinkFault fault);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace cumin::test

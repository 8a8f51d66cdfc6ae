#pragma once

#include <json/json.h>

#include <cstddef>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/metrics.h"
#include "cumin_core/time.h"
#include "cumin_fleet/member.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** @returns the request's bytes on the wire; for one about to be sent, with
    the fields that the HTTP library adds */
std::size_t WireBytes(const HttpRequest& request);

/** @returns the response's bytes on the wire, headers included */
std::size_t WireBytes(const HttpResponse& response);

/** Calls JSON-RPC methods of other daemons and counts the bytes of each
    exchange, headers included, by the peer's region. Thread-safe.

    Each call has a connection of its own: probes go to a random peer, so an
    open connection would hardly be used again.
*/
class PeerCaller {
 public:
  /** @param metrics  counts into control_sent_bytes, control_received_bytes
      and, for other regions, region_link_<region>_bytes */
  PeerCaller(MetricRegistry& metrics, RegionId own_region);

  /** @param peer     whom to call; an empty region counts as the own one
      @param method   e.g. "fleet.ping"
      @param timeout  longest silence from the peer
      @returns the result, or the error of the exchange or of the peer */
  Result<Json::Value> Call(const Member& peer, const std::string& method,
                           const Json::Value& parameters, Duration timeout);

 private:
  MetricRegistry& metrics_;
  const RegionId own_region_;
  Counter& sent_;
  Counter& received_;
};

}  // namespace cumin

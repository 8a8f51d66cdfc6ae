#pragma once

#include <vector>

#include "cumin_admission/suspect_codec.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_rpc/json_rpc_dispatcher.h"

namespace cumin {

/** Tells the daemons beside a service's other targets which requests were in
    flight when a target crashed, before the caller can send its request again.
 */
class SuspectNotifier {
 public:
  /** @param board  outlives this object */
  explicit SuspectNotifier(Blackboard& board);

  /** Registers the method by which peers tell their records. */
  void Register(JsonRpcDispatcher& dispatcher);

  /** Sends the records to every other daemon with a target of the service, to
      those named in the records, and in a small fleet to all, for a bounded
      time. Takes in what they know of the same requests.
      @returns how many daemons confirmed */
  int Tell(const ServiceId& service, const std::vector<SuspectRecord>& records);

 private:
  Blackboard& board_;
  PeerCaller caller_;
};

}  // namespace cumin

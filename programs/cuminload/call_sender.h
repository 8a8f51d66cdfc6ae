#pragma once

#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/time.h"
#include "cumin_rpc/http_client_pool.h"
#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** Sends attempts over HTTP and classifies the responses. Thread-safe. */
class CallSender {
 public:
  /** @param clock  used to distinguish a timeout from a broken connection;
                    outlives this object */
  explicit CallSender(const Clock& clock);

  /** Sends one attempt and waits for its response.
      @param entry       address of the daemon or target to send it to
      @param call        the kind of the call
      @param planned     the call
      @param first_sent  when the first attempt was sent
      @param earlier     previous attempts of the call; the stored response to
                         one of them is also accepted as a match
      @param request_id  unique id of this attempt */
  AttemptOutcome Send(const Endpoint& entry, const ScenarioCall& call,
                      const PlannedCall& planned, WallTime first_sent,
                      const std::vector<AttemptOutcome>& earlier,
                      const std::string& request_id);

 private:
  const Clock& clock_;
  HttpClientPool pool_;
};

}  // namespace cumin::load

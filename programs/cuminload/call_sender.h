#pragma once

#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/time.h"
#include "cumin_rpc/http_client_pool.h"
#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** Sends attempts over HTTP and reads what the caller is told. Thread-safe. */
class CallSender {
 public:
  /** @param clock  tells silence after the deadline from a broken connection;
                    outlives this */
  explicit CallSender(const Clock& clock);

  /** Sends one attempt and waits for its answer.
      @param entry       where to send it
      @param call        the call's kind
      @param planned     the call
      @param first_sent  when the first attempt was sent
      @param earlier     the attempts before this one, whose stored answer may
                         come back */
  AttemptOutcome Send(const Endpoint& entry, const ScenarioCall& call,
                      const PlannedCall& planned, WallTime first_sent,
                      const std::vector<AttemptOutcome>& earlier,
                      const std::string& request_id);

 private:
  const Clock& clock_;
  HttpClientPool pool_;
};

}  // namespace cumin::load

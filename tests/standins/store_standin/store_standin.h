#pragma once

#include <json/json.h>

#include <condition_variable>
#include <mutex>
#include <string>

#include "cumin_core/time.h"
#include "cumin_rpc/http_server.h"
#include "standins/store_standin/call_meter.h"
#include "standins/store_standin/kv_state.h"

namespace cumin::test {

/** Stand-in for the platform's store: an in-memory implementation of Consul's
    KV and session API with fault injection.

    `PUT /standin/fault` takes a JSON object whose fields set the faults:
    "outage" (bool: every call fails with 503), "delay_ms" (added to every
    call), "lose_answers" (the next n writes take effect but return 500) and
    "freeze" (bool: calls block until it is reset).
    `GET /standin/stats` returns the call counts.

    Thread-safe: one mutex guards all state.
*/
class StoreStandin final : public HttpHandler {
 public:
  /** @param clock         for sessions, watches and rate limits; must outlive
                           this object
      @param reads_per_s   see CallMeter
      @param writes_per_s  see CallMeter */
  StoreStandin(const Clock& clock, int reads_per_s, int writes_per_s)
      : clock_(clock), meter_(reads_per_s, writes_per_s) {}

  HttpResponse Handle(const HttpRequest& request) override;

  /** Completes every blocked call; later calls do not block. */
  void Shutdown();

 private:
  using Lock = std::unique_lock<std::mutex>;

  HttpResponse HandleControlRequest(const HttpRequest& request);
  HttpResponse InjectFaults(const std::string& body);
  HttpResponse Serve(const HttpRequest& request, StoreCall call);
  HttpResponse ServeRead(Lock& lock, const std::string& path,
                         const std::string& query, StoreCall call);
  HttpResponse ServeWrite(const HttpRequest& request, StoreCall call);
  HttpResponse ServeTransaction(const std::string& body);
  HttpResponse CreateSession(const std::string& body);
  void WaitForChange(Lock& lock, const std::string& prefix,
                     const std::string& query);
  void ApplyDelay(Lock& lock);

  const Clock& clock_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  CallMeter meter_;
  KvState state_;
  int waiting_watches_ = 0;
  bool unavailable_ = false;
  bool frozen_ = false;
  bool stopping_ = false;
  int delay_ms_ = 0;
  int responses_to_lose_ = 0;
};

}  // namespace cumin::test

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

/** Plays the platform's store: the KV and session API of Consul in memory,
    with faults on request.

    `PUT /standin/fault` takes a JSON object whose fields set the faults:
    "outage" (bool: every call is refused with 503), "delay_ms" (of every
    call), "lose_answers" (the next n writes take effect and are answered with
    500) and "freeze" (bool: calls wait until it is lifted).
    `GET /standin/stats` answers the counts of calls.

    One mutex guards everything.
*/
class StoreStandin final : public HttpHandler {
 public:
  /** @param clock  times sessions, watches and ceilings; outlives this */
  StoreStandin(const Clock& clock, int reads_per_s, int writes_per_s)
      : clock_(clock), meter_(reads_per_s, writes_per_s) {}

  HttpResponse Handle(const HttpRequest& request) override;

  /** Answers every waiting call, and every later one at once. */
  void Shutdown();

 private:
  using Lock = std::unique_lock<std::mutex>;

  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse SetFaults(const std::string& body);
  HttpResponse Serve(const HttpRequest& request, StoreCall call);
  HttpResponse ServeRead(Lock& lock, const std::string& path,
                         const std::string& query, StoreCall call);
  HttpResponse ServeWrite(const HttpRequest& request, StoreCall call);
  HttpResponse ServeTransaction(const std::string& body);
  HttpResponse CreateSession(const std::string& body);
  void AwaitChange(Lock& lock, const std::string& prefix,
                   const std::string& query);
  void Delay(Lock& lock);

  const Clock& clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  CallMeter meter_;
  KvState state_;
  int waiting_watches_ = 0;
  bool outage_ = false;
  bool frozen_ = false;
  bool stopping_ = false;
  int delay_ms_ = 0;
  int answers_to_lose_ = 0;
};

}  // namespace cumin::test

#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "cumin_core/time.h"
#include "cumin_http/http_message.h"
#include "standins/target_standin/raw_listener.h"
#include "standins/target_standin/run_log.h"

namespace cumin::test {

/** Initial behaviour of a target. */
struct TargetOptions {
  std::string service;
  int slots = 12;
  /** Time from the start until calls are accepted. */
  Duration cold_start{0};
  /** Duration of each run. */
  Duration service_time{std::chrono::milliseconds(5)};
  /** Age of the load that the health and load endpoints report. */
  Duration health_delay{0};
  /** Whether the load and health endpoints report "ready" and no load in any
      state. */
  bool always_report_idle = false;
};

/** The part of a target's announcement that can change. */
struct TargetAnnouncement {
  int slots = 0;
  /** "starting", "ready" or "leaving". */
  std::string state;
};

/** Stand-in for a customer's target. Every path outside `/-/target/` is an
    operation that occupies a slot for the service time and is recorded in the
    run log.

    `GET /-/target/health` and `/-/target/load` return the state, delayed or
    wrong as the options say. `PUT /-/target/control` takes a JSON object with
    any of "leaving" (bool), "crash_on" (a call with this X-Mark header ends the
    process), "silent" (true: connections open now never respond again),
    "truncate" (the bodies of the next n responses are cut short), "shed" (bool:
    calls are rejected before they run), "service_ms" and "slots".

    Thread-safe: one mutex guards all state; it is not held while a call runs.
*/
class TargetStandin final : public RawListener::Handler {
 public:
  /** @param log    receives the run events; must outlive this object
      @param clock  must outlive this object */
  TargetStandin(const TargetOptions& options, RunLog& log, const Clock& clock);

  /** @param address  reported in responses and in the run log */
  void set_address(const std::string& address) { address_ = address; }

  void Serve(RawConnection& connection) override;

  /** @returns the current slots and state */
  TargetAnnouncement Announcement() const;

  /** Waits until the state may have changed, for at most `limit`. */
  void WaitForChange(Duration limit);

  /** Changes the state to "leaving"; calls are still accepted and run. */
  void StartDraining();

  /** Waits until no call runs and no response is being sent, for at most
      `limit`.
      @returns false when calls still run */
  bool WaitUntilIdle(Duration limit);

 private:
  struct LoadSample {
    MonoTime at;
    int in_flight = 0;
  };

  bool HandleRequest(RawConnection& connection, const HttpRequest& request,
                     std::uint64_t generation);
  bool SendResponse(RawConnection& connection, const HttpResponse& response,
                    std::uint64_t generation);
  HttpResponse Run(RawConnection& connection, const HttpRequest& request,
                   Duration service_time);
  HttpResponse HandleControlRequest(const std::string& body);
  HttpResponse Health() const;
  /** @returns why the call cannot run, or "" after acquiring a slot */
  std::string AcquireSlot(Duration* service_time);
  /** Ends a run, whose response is to be sent next. */
  void ReleaseSlot();
  void EndResponse();
  std::string StateLocked() const;
  int DelayedLoadLocked() const;
  void MaybeCrash(const HttpRequest& request);
  /** Applies one pending "truncate" fault.
      @returns the number of body bytes to omit from this response */
  std::size_t ConsumeTruncation();
  std::uint64_t silence_generation() const;

  TargetOptions options_;
  RunLog& log_;
  const Clock& clock_;
  MonoTime started_at_;
  std::string address_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int in_flight_ = 0;
  /** Number of responses that are being sent. */
  int responding_ = 0;
  std::uint64_t runs_ = 0;
  bool draining_ = false;
  bool shedding_ = false;
  std::string crash_marker_;
  int responses_to_truncate_ = 0;
  /** Incremented by each "silent" command; connections of earlier generations
      no longer respond. */
  std::uint64_t silence_generation_ = 0;
  std::deque<LoadSample> load_samples_;
};

}  // namespace cumin::test

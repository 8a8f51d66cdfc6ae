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

/** How a target behaves from its start. */
struct TargetOptions {
  std::string service;
  int slots = 12;
  /** From the start until calls are taken. */
  Duration cold_start{0};
  /** How long each run takes. */
  Duration service_time{std::chrono::milliseconds(5)};
  /** How old the state is that the load endpoint shows. */
  Duration health_lag{0};
  /** The load and health endpoints say "ready and idle" whatever is true. */
  bool lies = false;
};

/** What a target announces of itself. */
struct TargetAnnouncement {
  int slots = 0;
  /** "starting", "ready" or "leaving". */
  std::string state;
};

/** Plays a customer's target: every path but `/-/target/` is an operation that
    takes a slot for the service time and is written into the run log.

    `GET /-/target/health` and `/-/target/load` answer its state, late or wrong
    as the options say. `PUT /-/target/control` takes a JSON object with any of
    "leaving" (bool), "crash_on" (ends the process on a call whose X-Mark
    header is this), "silent" (true: connections open now never answer again),
    "truncate" (the next n answers lose a part of their body), "shed" (bool:
    calls are refused before they run), "service_ms" and "slots".

    One mutex guards everything; it is not held while a call runs.
*/
class TargetStandin final : public RawListener::Handler {
 public:
  /** @param log    receives the runs; outlives this
      @param clock  outlives this */
  TargetStandin(const TargetOptions& options, RunLog& log, const Clock& clock);

  /** @param address  written into answers and the run log */
  void set_address(const std::string& address) { address_ = address; }

  void Serve(RawConnection& connection) override;

  /** @returns the state to announce now */
  TargetAnnouncement Announcement() const;

  /** Waits until the announcement may have changed, at most for `limit`. */
  void AwaitChange(Duration limit);

  /** Announces leaving from now on; calls still run. */
  void Leave();

  /** Waits until no call runs and no answer is being sent, at most for `limit`.
      @returns false when calls still run */
  bool AwaitIdle(Duration limit);

 private:
  struct LoadSample {
    MonoTime at;
    int in_flight = 0;
  };

  bool Answer(RawConnection& connection, const HttpRequest& request,
              std::uint64_t generation);
  bool Deliver(RawConnection& connection, const HttpResponse& response,
               std::uint64_t generation);
  HttpResponse Run(RawConnection& connection, const HttpRequest& request,
                   Duration service_time);
  HttpResponse Control(const std::string& body);
  HttpResponse Health() const;
  /** @returns why the call cannot run, or "" after taking a slot */
  std::string TakeSlot(Duration* service_time);
  void ReturnSlot();
  std::string StateLocked() const;
  int LaggingLoadLocked() const;
  void CrashIfMarked(const HttpRequest& request);
  std::size_t TakeTruncation();
  std::uint64_t silenced_generation() const;

  TargetOptions options_;
  RunLog& log_;
  const Clock& clock_;
  MonoTime started_at_;
  std::string address_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int in_flight_ = 0;
  std::uint64_t runs_ = 0;
  bool leaving_ = false;
  bool sheds_ = false;
  std::string crash_mark_;
  int answers_to_truncate_ = 0;
  /** Grows with each "silent"; connections of earlier generations are dead. */
  std::uint64_t generation_ = 0;
  std::deque<LoadSample> load_samples_;
};

}  // namespace cumin::test

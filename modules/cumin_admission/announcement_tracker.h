#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cumin_core/time.h"
#include "cumin_core/withdrawal.h"

namespace cumin {

/** A status report of the target beside this daemon. */
struct TargetAnnouncement {
  /** Name of the target's process; a later process may reuse it. */
  std::string instance;
  /** Start time of the process by its own wall clock. */
  WallTime process_started_at;
  /** Increases with each report of a process. */
  std::uint64_t sequence = 0;
  /** Version of its software; may be empty. */
  std::string version;
  int slots = 0;
  bool leaving = false;
  /** Remaining time until the process has warmed up. */
  Duration warmup_remaining{0};

  friend bool operator==(const TargetAnnouncement& a,
                         const TargetAnnouncement& b) {
    return a.instance == b.instance &&
           a.process_started_at == b.process_started_at &&
           a.sequence == b.sequence && a.version == b.version &&
           a.slots == b.slots && a.leaving == b.leaving &&
           a.warmup_remaining == b.warmup_remaining;
  }
};

/** Result of AnnouncementTracker::Take. */
enum class AnnouncementOutcome {
  /** The report comes from a new process. */
  kNewTarget,
  /** A newer report of the known process. */
  kUpdated,
  /** The report is out of order or from a replaced process; it was ignored. */
  kStale,
};

/** Tracks the target beside this daemon from reports that may be delayed,
    duplicated or sent by a process that has ended.

    The process with the latest start time wins; among reports of one process,
    the highest sequence does. Once a process has announced that it is leaving,
    none of its later reports makes it ready again, also after a restart of this
    daemon: its peers keep the withdrawal. Not thread-safe.
*/
class AnnouncementTracker {
 public:
  /** @param report_timeout  without a report for this long, the target is not
      ready until the next one arrives */
  explicit AnnouncementTracker(Duration report_timeout)
      : report_timeout_(report_timeout) {}

  /** Applies a report. */
  AnnouncementOutcome Take(const TargetAnnouncement& report, MonoTime now);

  /** Marks the process of this name as leaving. A name that has not been
      reported yet is remembered: late reports of the process that withdrew do
      not make it ready.
      @returns false if it is not the known process */
  bool Withdraw(const std::string& instance, WallTime now);

  /** Applies the withdrawal that a peer knows of an earlier run of this daemon.
   */
  void LearnWithdrawal(const Withdrawal& learned);

  /** @returns the last withdrawal on this VM; empty when none is known */
  const std::optional<Withdrawal>& withdrawal() const { return withdrawal_; }

  /** From now on no target is ready until OnHistoryKnown was called: an earlier
      run may have acknowledged the departure of the process that reports.
      @param until  ends the wait, for a daemon that reaches no peer */
  void AwaitHistory(MonoTime until) { history_wait_until_ = until; }

  /** Ends the wait of AwaitHistory: a peer's knowledge has been applied, or
      there is no peer. */
  void OnHistoryKnown() { history_wait_until_.reset(); }

  /** @returns false while AwaitHistory applies */
  bool IsHistoryKnown(MonoTime now) const {
    return !history_wait_until_ || now >= *history_wait_until_;
  }

  /** @returns the target's last report; empty before the first one */
  const std::optional<TargetAnnouncement>& last() const { return last_; }

  /** @returns true if the target accepts new calls */
  bool IsReady(MonoTime now) const;

 private:
  bool WasWithdrawn(const TargetAnnouncement& report) const;

  const Duration report_timeout_;
  std::optional<TargetAnnouncement> last_;
  std::optional<Withdrawal> withdrawal_;
  std::optional<MonoTime> history_wait_until_;
  MonoTime received_at_;
};

}  // namespace cumin

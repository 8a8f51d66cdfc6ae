#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cumin_core/time.h"

namespace cumin {

/** One status report of the target beside this daemon. */
struct TargetAnnouncement {
  /** Names the target's process; may be taken again by a later one. */
  std::string instance;
  /** When the process started, in its own wall clock. */
  WallTime born;
  /** Grows with each report of one process. */
  std::uint64_t sequence = 0;
  int slots = 0;
  bool leaving = false;
  /** How much longer it stays slow after its start. */
  Duration cold_left{0};

  friend bool operator==(const TargetAnnouncement& a,
                         const TargetAnnouncement& b) {
    return a.instance == b.instance && a.born == b.born &&
           a.sequence == b.sequence && a.slots == b.slots &&
           a.leaving == b.leaving && a.cold_left == b.cold_left;
  }
};

/** What AnnouncementBook made of a report. */
enum class AnnouncementOutcome {
  /** A process that was not known before. */
  kNewTarget,
  /** The known process said something new. */
  kUpdated,
  /** Late or from a process that has been replaced; nothing changed. */
  kStale,
};

/** The target beside this daemon, from reports that may come late, twice or
    from a process that is gone.

    A later start goes before an earlier one, and within one start the higher
    sequence. Once a process has said that it leaves, none of its reports brings
    it back. Not thread-safe.
*/
class AnnouncementBook {
 public:
  /** @param silent_after  without a report for this long the target counts as
      gone until the next one */
  explicit AnnouncementBook(Duration silent_after)
      : silent_after_(silent_after) {}

  /** Takes in a report. */
  AnnouncementOutcome Take(const TargetAnnouncement& report, MonoTime now);

  /** The process of this name takes its leave.
      @returns false when it is not the known one */
  bool Withdraw(const std::string& instance);

  /** @returns the target's last report, or nothing when none came */
  const std::optional<TargetAnnouncement>& last() const { return last_; }

  /** @returns true when the target takes new work */
  bool IsReady(MonoTime now) const;

 private:
  const Duration silent_after_;
  std::optional<TargetAnnouncement> last_;
  MonoTime heard_at_;
};

}  // namespace cumin

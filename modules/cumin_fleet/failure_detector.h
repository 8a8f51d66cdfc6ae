#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_fleet/member_table.h"
#include "cumin_fleet/probe_schedule.h"
#include "cumin_fleet/region_reachability.h"

namespace cumin {

/** Times and counts of a FailureDetector. */
struct DetectorSettings {
  /** One probe starts in each period. */
  Duration probe_period = std::chrono::seconds(1);
  /** Without an acknowledgement after this time, others are asked to probe. */
  Duration ack_timeout = std::chrono::milliseconds(300);
  int indirect_probes = 3;
  /** Suspicion lasts this many periods times log10 of the member count. */
  int suspicion_factor = 4;
  /** Highest value of the local health score, 0 being healthy; times grow
      with the score. */
  int max_health_score = 4;
  /** A longer gap between two ticks means that the process was paused. */
  Duration pause_bound = std::chrono::seconds(2);
};

/** Names one probe of this daemon. */
using ProbeId = std::uint64_t;

/** Send a probe. */
struct SendProbe {
  ProbeId probe = 0;
  VmId target;
};

/** Ask a member to probe another and to say whether it answered. */
struct SendIndirectProbe {
  ProbeId probe = 0;
  VmId via;
  VmId target;
};

/** This process did not run for a while: what it held by time, such as a
    lease, may have lapsed. */
struct WasPaused {
  Duration length{0};
};

using DetectorAction = std::variant<SendProbe, SendIndirectProbe, WasPaused>;

/** SWIM failure detection with Lifeguard's local health.

    Only members of a region accuse members of that region; probes into other
    regions tell whether the region is reachable. A daemon that nobody
    answers holds its accusations back, since it is more likely cut off
    itself.

    Not thread-safe. `Tick` at least every 100 ms and carry out its actions;
    report each answer.
*/
class FailureDetector final : private MemberTable::Listener {
 public:
  /** @param table     this daemon's members; outlives this
      @param settings  times and counts */
  FailureDetector(MemberTable& table, const DetectorSettings& settings);
  ~FailureDetector() override;
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /** @returns what to send now */
  std::vector<DetectorAction> Tick(MonoTime now, Random& random);

  /** The target acknowledged a probe.
      @param known_incarnation  at which the target holds this daemon alive */
  void OnAck(ProbeId probe, std::uint64_t known_incarnation, MonoTime now);

  /** A probe could not be delivered or was not acknowledged in time. */
  void OnProbeFailed(ProbeId probe, MonoTime now);

  /** An asked member reached the target. */
  void OnIndirectAck(ProbeId probe, MonoTime now);

  /** An asked member answered that the target did not. */
  void OnIndirectNack(ProbeId probe);

  /** @returns true after a pause until a peer has acknowledged an incarnation
      that this daemon took after it; work that needs exclusive ownership must
      be refused meanwhile */
  bool IsFenced() const;

  /** @returns 0 when healthy, up to max_health_score */
  int health_score() const { return health_score_; }

  /** @returns how long a suspicion that starts now lasts */
  Duration SuspicionTime() const;

  const RegionReachability& regions() const { return regions_; }

 private:
  struct Probe {
    ProbeId id = 0;
    VmId target;
    std::uint64_t incarnation = 0;
    MonoTime sent;
    bool own_region = true;
    bool failed = false;
    bool asked_others = false;
    int nacks = 0;
  };
  struct Suspicion {
    std::uint64_t incarnation = 0;
    MonoTime deadline;
  };

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberForgotten(const Member& last) override;
  void Resume(MonoTime now);
  void AskOthers(MonoTime now, Random& random,
                 std::vector<DetectorAction>* actions);
  void EndProbe(MonoTime now);
  void StartProbe(MonoTime now, Random& random,
                  std::vector<DetectorAction>* actions);
  void FinishProbe(bool answered, MonoTime now);
  void CheckSuspicions(MonoTime now);
  void SetHealthScore(int score);
  Duration Scaled(Duration length) const;
  bool IsCutOff() const;

  MemberTable& table_;
  const DetectorSettings settings_;
  ProbeSchedule schedule_;
  RegionReachability regions_;
  std::map<VmId, Suspicion> suspicions_;
  std::optional<Probe> probe_;
  ProbeId next_probe_ = 1;
  std::optional<MonoTime> last_tick_;
  MonoTime next_period_;
  int health_score_ = 0;
  int failures_in_a_row_ = 0;
  std::uint64_t fenced_below_ = 0;
};

}  // namespace cumin

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

/** Timing and limits of a FailureDetector. */
struct DetectorSettings {
  /** One probe starts in each period. */
  Duration probe_period = std::chrono::seconds(1);
  /** Time without an acknowledgement after which other members are asked to
      probe the target. */
  Duration ack_timeout = std::chrono::milliseconds(300);
  int indirect_probes = 3;
  /** A suspicion lasts this many probe periods, multiplied by log10 of the
      number of live members if that is above 1. */
  int suspicion_factor = 4;
  /** Highest value of the local health score, where 0 is healthy. The probe
      period, time-outs and suspicions are multiplied by the score plus 1. */
  int max_health_score = 4;
  /** A longer gap between two ticks is treated as a pause of the process. */
  Duration pause_bound = std::chrono::seconds(2);
};

/** Identifies a probe sent by this daemon. */
using ProbeId = std::uint64_t;

/** Action: send a probe. */
struct SendProbe {
  ProbeId probe = 0;
  VmId target;
};

/** Action: ask a member to probe another and to report the result. */
struct SendIndirectProbe {
  ProbeId probe = 0;
  VmId via;
  VmId target;
};

/** Event: this process was not scheduled for a while, so anything that it held
    for a limited time, such as a lease, may have expired. */
struct ProcessPaused {
  Duration length{0};
};

using DetectorAction =
    std::variant<SendProbe, SendIndirectProbe, ProcessPaused>;

/** SWIM failure detector with the local health score of Lifeguard.

    Members are declared suspect or dead only by members of the same region;
    probes into other regions only determine whether the region is reachable. A
    daemon whose probes all fail declares no member dead, since it is more
    likely isolated itself.

    Not thread-safe. The caller runs `Tick` at least every 100 ms, carries out
    the returned actions and reports each response.
*/
class FailureDetector final : private MemberTable::Listener {
 public:
  /** @param table  member table of this daemon; must outlive this object */
  FailureDetector(MemberTable& table, const DetectorSettings& settings);
  ~FailureDetector() override;
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /** @returns the actions to carry out now */
  std::vector<DetectorAction> Tick(MonoTime now, Random& random);

  /** Handles an acknowledgement from the probed member.
      @param known_incarnation  incarnation at which that member considers this
      daemon alive */
  void OnAck(ProbeId probe, std::uint64_t known_incarnation, MonoTime now);

  /** Records that a probe could not be delivered or was not acknowledged in
      time. */
  void OnProbeFailed(ProbeId probe, MonoTime now);

  /** Handles a report that an indirect probe reached its target. */
  void OnIndirectAck(ProbeId probe, MonoTime now);

  /** Handles a report that an indirect probe got no response. */
  void OnIndirectNack(ProbeId probe);

  /** @returns true from a pause until a peer has acknowledged the incarnation
      that this daemon adopted after it. Work that needs exclusive ownership
      must be refused meanwhile. */
  bool IsFenced() const;

  /** @returns 0 when healthy, at most max_health_score */
  int health_score() const { return health_score_; }

  /** @returns the duration of a suspicion that starts now */
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
    bool indirect_probes_sent = false;
    int nacks = 0;
  };
  struct Suspicion {
    std::uint64_t incarnation = 0;
    MonoTime deadline;
  };

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberExpired(const Member& last) override;
  void Resume(MonoTime now);
  void RequestIndirectProbes(MonoTime now, Random& random,
                             std::vector<DetectorAction>* actions);
  void EndProbe(MonoTime now);
  void StartProbe(MonoTime now, Random& random,
                  std::vector<DetectorAction>* actions);
  void FinishProbe(bool answered, MonoTime now);
  void CheckSuspicions(MonoTime now);
  void SetHealthScore(int score);
  Duration Scaled(Duration length) const;
  bool IsIsolated() const;

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
  int consecutive_failures_ = 0;
  std::uint64_t fenced_below_ = 0;
};

}  // namespace cumin

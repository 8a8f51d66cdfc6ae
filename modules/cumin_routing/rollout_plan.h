#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cumin_routing/rollout.h"

namespace cumin {

/** What one daemon's target answered on one route since its last report. */
struct VersionSample {
  std::string route;
  int answers = 0;
  /** Failures of the target itself, lost connections and timeouts. */
  int failures = 0;
  /** Answers of a target that had warmed up, and the sum of their times. */
  int timed = 0;
  Duration total_time{0};

  friend bool operator==(const VersionSample& a, const VersionSample& b) {
    return a.route == b.route && a.answers == b.answers &&
           a.failures == b.failures && a.timed == b.timed &&
           a.total_time == b.total_time;
  }
};

/** One daemon's report on its target. */
struct VersionReport {
  VmId vm;
  /** Version of the target's software. */
  std::string version;
  int in_flight = 0;
  std::vector<VersionSample> samples;

  friend bool operator==(const VersionReport& a, const VersionReport& b) {
    return a.vm == b.vm && a.version == b.version &&
           a.in_flight == b.in_flight && a.samples == b.samples;
  }
};

/** Decides how far one roll-out goes, from what the targets of both versions
    answer.

    A small share goes to the new version first, on so few of its targets that
    these have their full load. It stays there until the new version has
    answered enough requests for long enough, since some versions fail only
    later; then the share rises in steps. The versions are compared on the same
    route and over the same time, so that trouble that both have does not count.
    A version that fails more often, or takes several times as long, is rolled
    back. The roll-out is complete when the targets of the old version have had
    no request for a while.

    Answers the load "a new version fails at once, slowly, late, under load or
   on one route only, while targets of both versions are cold or noisy". Not
    thread-safe.
*/
class RolloutPlan {
 public:
  /** Share of the first step; an operator's limit of a tenth holds with a
      margin for uneven demand. */
  static constexpr double kFirstShare = 0.07;

  /** @param ordered_at  when the order became known */
  RolloutPlan(RolloutOrder order, MonoTime ordered_at);

  /** Continues a roll-out of which a decision is known. */
  void Resume(const Rollout& known);

  void OnReport(const VersionReport& report, MonoTime now);

  /** @returns the roll-out after the decision of this moment */
  const Rollout& Decide(MonoTime now);

  /** @returns why the version was rolled back; empty before */
  const std::string& reason() const { return reason_; }

 private:
  /** Decayed sums over the recent reports. */
  struct Evidence {
    double answers = 0;
    double failures = 0;
    double timed = 0;
    double seconds = 0;
  };
  struct RouteEvidence {
    Evidence before;
    Evidence after;
  };

  bool IsWorse(const std::string& route, const RouteEvidence& evidence);
  void Decay(MonoTime now);
  void Advance(MonoTime now);
  bool IsOldVersionIdle(MonoTime now) const;
  void SetShare(double share, MonoTime now);

  Rollout rollout_;
  std::map<std::string, RouteEvidence> routes_;
  MonoTime ordered_at_;
  MonoTime decayed_at_;
  /** When the new version answered its first request. */
  std::optional<MonoTime> first_answer_at_;
  double new_answers_ = 0;
  MonoTime share_since_;
  /** When a target of the old version last had a request. */
  MonoTime old_busy_at_;
  std::string reason_;
};

}  // namespace cumin

#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_core/target_load.h"
#include "cumin_core/verdict.h"
#include "cumin_fleet/member.h"
#include "cumin_routing/region_load.h"
#include "cumin_routing/rollout.h"
#include "cumin_routing/target_health.h"

namespace cumin {

/** Location of this daemon, used to prefer nearby targets. */
struct Locality {
  RegionId region;
  FailureDomainId failure_domain;

  friend bool operator==(const Locality& a, const Locality& b) {
    return a.region == b.region && a.failure_domain == b.failure_domain;
  }
};

/** Input of TargetChooser::Choose for one call. */
struct ChooseRequest {
  ServiceId service;
  /** Targets that the call has already been sent to. */
  std::vector<VmId> tried;
  /** The response is large, so the network link of the target's VM counts as a
      resource like its slots. Links between regions are slow and expensive;
      another region is chosen only when the own region has no target. */
  bool is_large = false;
  /** The request is large: it counts what large requests already take of the
      target's link. */
  bool is_upload = false;
  /** Which versions of the service's targets may be used. */
  VersionChoice version = {};
};

/** Load balancer: chooses the target of each call from the member table and the
    load reported in earlier responses.

    Picks the less loaded of two random targets among the nearest ones with
    free capacity (power of two choices). More distant targets are used only
    when the nearer ones are at their limit. When all are, the expected queueing
    delay of each is weighed against the network delay to it, and another region
    is used only where it is clearly faster. Leaving, starting and zero-slot
    targets are never chosen.

    Reported load decays with its age, that of a target in another region
    towards the mean of its region; and a report that a target accepts no calls
    expires. Calls that this daemon has in flight are counted exactly.
*/
class TargetChooser {
 public:
  /** @param self  location of this daemon */
  explicit TargetChooser(Locality self) : self_(std::move(self)) {}

  /** Replaces the known members. Load and health of targets that remain are
      kept.
      @param members  all members; those without a target are ignored */
  void SetMembers(const std::vector<Member>& members, MonoTime now);

  /** Chooses a target and counts the call as in flight there until Finish.
      @param[out] refusal  set when there is no target; its verdict is NotRun
      @returns the daemon beside the target, or nothing */
  std::optional<Member> Choose(const ChooseRequest& request, MonoTime now,
                               Random& random, Refusal* refusal);

  /** Ends a call that Choose counted as in flight. */
  void Finish(const VmId& vm);

  /** Records the load reported with a response or refusal. */
  void OnLoad(const VmId& vm, const TargetLoad& load, MonoTime now);

  /** Records that the target executed a call, or that its daemon refused one
      for a reason that is not a failure. */
  void OnSuccess(const VmId& vm);

  /** Records that the target's daemon could not be reached, did not respond in
      time, or reported that the target failed. */
  void OnFailure(const VmId& vm, MonoTime now);

  /** Records that the target's daemon could not be reached, or now serves a
      target of another service. The target is avoided immediately. */
  void OnUnreachable(const VmId& vm, MonoTime now);

  /** @returns the number of calls that this daemon has in flight there */
  int InFlight(const VmId& vm) const;

 private:
  struct Target {
    Member member;
    TargetLoad load;
    MonoTime load_reported_at;
    bool has_load = false;
    int own_in_flight = 0;
    /** Value of own_in_flight when the load was reported; subtracted from the
        reported load so that own calls are not counted twice. */
    int own_in_flight_at_report = 0;
    TargetHealth health;
    /** Of the target's region; null for the own region. */
    RegionLoad* region_load = nullptr;
  };

  enum class Distance { kSameFailureDomain, kSameRegion, kOtherRegion };

  static bool IsEligible(const Target& target, MonoTime now);
  Distance DistanceTo(const Target& target) const;
  /** @returns estimated calls per usable slot; 1 means fully utilized */
  static double Utilization(const Target& target, MonoTime now);
  /** For a large response, the higher of slot and link utilization. */
  static double Utilization(const Target& target, const ChooseRequest& request,
                            MonoTime now);
  /** @returns the reported part of the link that large requests use, reduced by
      its age */
  static double InboundUse(const Target& target, MonoTime now);
  /** @returns the reported backlog of the link, reduced by its age */
  static Duration LinkWait(const Target& target, MonoTime now);
  /** Targets to choose among. */
  struct Candidates {
    std::vector<Target*> targets;
    /** The targets are healthy, but none that may be used has free capacity. */
    bool is_full = false;
  };

  /** @returns the targets of the service that a roll-out allows for the
      request */
  std::vector<Target*> TargetsOfVersion(const ServiceId& service,
                                        const VersionChoice& choice,
                                        MonoTime now);
  Candidates FindCandidates(const ChooseRequest& request, MonoTime now,
                            bool* has_eligible);
  static Target* PickLessLoaded(const std::vector<Target*>& candidates,
                                const ChooseRequest& request, MonoTime now,
                                Random& random);
  Duration ExpectedDelay(const Target& target, const ChooseRequest& request,
                         MonoTime now) const;
  Target* PickByExpectedDelay(const std::vector<Target*>& candidates,
                              const ChooseRequest& request, MonoTime now,
                              Random& random) const;
  /** @returns the sampled target with the least expected delay, or null when
      there are no candidates */
  Target* SampleByExpectedDelay(const std::vector<Target*>& candidates,
                                const ChooseRequest& request, MonoTime now,
                                Random& random) const;
  /** Removes the targets of other regions, if there are others. */
  void PreferOwnRegion(std::vector<Target*>& candidates) const;
  /** Removes the targets of other regions. */
  void KeepOwnRegion(std::vector<Target*>& candidates) const;

  Locality self_;
  std::unordered_map<VmId, Target> targets_;
  std::unordered_map<ServiceId, std::vector<VmId>> services_;
  /** By service and region. */
  std::map<std::pair<ServiceId, RegionId>, RegionLoad> region_loads_;
};

}  // namespace cumin

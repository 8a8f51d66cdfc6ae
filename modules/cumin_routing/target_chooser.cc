#include "cumin_routing/target_chooser.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace cumin {

namespace {

/** Time constant of the exponential decay of reported load. */
constexpr Duration kLoadDecayTime = std::chrono::seconds(2);
/** A target that reported no usable slots, or that it is leaving, is tried
    again after this time, since a replacement process may be ready by then. */
constexpr Duration kUnavailableRecheckInterval = std::chrono::seconds(1);
/** Calls per slot at which a target counts as fully utilized. */
constexpr double kFullUtilization = 1.0;
/** Backlog at which a link counts as fully utilized. */
constexpr Duration kFullLinkWait = std::chrono::milliseconds(300);
/** Assumed for a target that has not reported its mean call duration. */
constexpr Duration kDefaultMeanTime = std::chrono::milliseconds(100);
/** Number of fully utilized targets sampled for one call. Kept small so that
    daemons with the same load data do not all choose the same target. */
constexpr int kDelaySamples = 4;
/** By how much a target in another region has to be faster when all targets are
    full: its load is known less well, and the links between regions are billed.
 */
constexpr Duration kOtherRegionMargin = std::chrono::milliseconds(100);
constexpr double kPercent = 100;
constexpr Duration kNoTargetRetryAfter = std::chrono::milliseconds(500);

}  // namespace

void TargetChooser::SetMembers(const std::vector<Member>& members,
                               MonoTime now) {
  std::unordered_map<VmId, Target> targets;
  services_.clear();
  for (const Member& it : members) {
    if (!it.target) {
      continue;
    }
    const auto known = targets_.find(it.vm);
    Target target;
    if (known != targets_.end()) {
      target = std::move(known->second);
      const bool is_replaced =
          !target.member.target ||
          target.member.target->endpoint != it.target->endpoint ||
          target.member.endpoint != it.endpoint;
      if (is_replaced || target.member.incarnation != it.incarnation) {
        // A new incarnation is more recent than the last reported load.
        target.has_load = false;
        target.health = TargetHealth();
      }
    }
    target.member = it;
    target.region_load = it.region == self_.region
                             ? nullptr
                             : &region_loads_[{it.target->service, it.region}];
    target.load_reported_at = std::min(target.load_reported_at, now);
    services_[it.target->service].push_back(it.vm);
    targets.emplace(it.vm, std::move(target));
  }
  targets_ = std::move(targets);
}

std::optional<Member> TargetChooser::Choose(const ChooseRequest& request,
                                            MonoTime now, Random& random,
                                            Refusal* refusal) {
  bool has_eligible = false;
  const Candidates candidates = FindCandidates(request, now, &has_eligible);
  Target* const chosen =
      candidates.is_full
          ? PickByExpectedDelay(candidates.targets, request, now, random)
          : PickLessLoaded(candidates.targets, request, now, random);
  if (chosen == nullptr) {
    *refusal = Refusal{
        Verdict::kNotRun, RefusalReason::kNoTarget,
        has_eligible ? "all available targets of the service have been tried"
                     : "the service has no target that accepts calls",
        kNoTargetRetryAfter};
    return std::nullopt;
  }
  chosen->own_in_flight += 1;
  chosen->health.OnSent(now);
  return chosen->member;
}

void TargetChooser::Finish(const VmId& vm) {
  const auto it = targets_.find(vm);
  if (it != targets_.end() && it->second.own_in_flight > 0) {
    it->second.own_in_flight -= 1;
  }
}

void TargetChooser::OnLoad(const VmId& vm, const TargetLoad& load,
                           MonoTime now) {
  const auto it = targets_.find(vm);
  if (it == targets_.end()) {
    return;
  }
  Target& target = it->second;
  target.load = load;
  target.load_reported_at = now;
  target.has_load = true;
  target.own_in_flight_at_report = target.own_in_flight;
  if (target.region_load != nullptr && load.usable_slots > 0) {
    const double calls = load.in_flight + load.queued;
    target.region_load->OnReport(calls / load.usable_slots, now);
  }
}

void TargetChooser::OnSuccess(const VmId& vm) {
  const auto it = targets_.find(vm);
  if (it != targets_.end()) {
    it->second.health.OnSuccess();
  }
}

void TargetChooser::OnFailure(const VmId& vm, MonoTime now) {
  const auto it = targets_.find(vm);
  if (it != targets_.end()) {
    it->second.health.OnFailure(now);
  }
}

void TargetChooser::OnUnreachable(const VmId& vm, MonoTime now) {
  const auto it = targets_.find(vm);
  if (it != targets_.end()) {
    it->second.health.OnUnreachable(now);
  }
}

int TargetChooser::InFlight(const VmId& vm) const {
  const auto it = targets_.find(vm);
  return it == targets_.end() ? 0 : it->second.own_in_flight;
}

bool TargetChooser::IsEligible(const Target& target, MonoTime now) {
  const Member& member = target.member;
  if (member.state == MemberState::kDead ||
      member.state == MemberState::kLeft) {
    return false;
  }
  if (member.target->state != TargetState::kReady ||
      member.target->slots <= 0) {
    return false;
  }
  const bool accepted_calls =
      !target.load.leaving && target.load.usable_slots > 0;
  return !target.has_load || accepted_calls ||
         now - target.load_reported_at >= kUnavailableRecheckInterval;
}

TargetChooser::Distance TargetChooser::DistanceTo(const Target& target) const {
  if (target.member.region != self_.region) {
    return Distance::kOtherRegion;
  }
  return target.member.failure_domain == self_.failure_domain
             ? Distance::kSameFailureDomain
             : Distance::kSameRegion;
}

double TargetChooser::Utilization(const Target& target, MonoTime now) {
  const double expected = target.region_load == nullptr
                              ? 0.0
                              : target.region_load->Utilization(now);
  if (!target.has_load) {
    return expected + static_cast<double>(target.own_in_flight) /
                          target.member.target->slots;
  }
  const double age =
      std::chrono::duration<double>(now - target.load_reported_at) /
      std::chrono::duration<double>(kLoadDecayTime);
  const double slots = std::max(1, target.load.usable_slots);
  const double others = std::max(0, target.load.in_flight + target.load.queued -
                                        target.own_in_flight_at_report);
  const double decayed =
      expected + (others / slots - expected) * std::exp(-age);
  return decayed + target.own_in_flight / slots;
}

double TargetChooser::Utilization(const Target& target,
                                  const ChooseRequest& request, MonoTime now) {
  const double slots = Utilization(target, now);
  if (request.is_upload) {
    return std::max(slots, InboundUse(target, now));
  }
  if (!request.is_large) {
    return slots;
  }
  return std::max(slots, std::chrono::duration<double>(LinkWait(target, now)) /
                             std::chrono::duration<double>(kFullLinkWait));
}

double TargetChooser::InboundUse(const Target& target, MonoTime now) {
  if (!target.has_load) {
    return 0;
  }
  const double age =
      std::chrono::duration<double>(now - target.load_reported_at) /
      std::chrono::duration<double>(kLoadDecayTime);
  return target.load.inbound_percent / kPercent * std::exp(-age);
}

Duration TargetChooser::LinkWait(const Target& target, MonoTime now) {
  if (!target.has_load) {
    return Duration::zero();
  }
  const auto age =
      std::chrono::duration_cast<Duration>(now - target.load_reported_at);
  return std::max(Duration::zero(), target.load.link_wait - age);
}

std::vector<TargetChooser::Target*> TargetChooser::TargetsOfVersion(
    const ServiceId& service, const VersionChoice& choice, MonoTime now) {
  std::vector<Target*> old_targets;
  std::vector<Target*> new_targets;
  bool has_old_version = false;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  for (const VmId& vm : found->second) {
    Target& target = targets_.at(vm);
    const bool is_new = !choice.version.empty() &&
                        target.member.target->version == choice.version;
    has_old_version = has_old_version || !is_new;
    if (IsEligible(target, now)) {
      (is_new ? new_targets : old_targets).push_back(&target);
    }
  }
  if (choice.version.empty()) {
    return old_targets;
  }
  const auto used = static_cast<std::size_t>(
      std::ceil(choice.new_targets * static_cast<double>(new_targets.size())));
  if (used < new_targets.size()) {
    // The same ones on every daemon.
    std::sort(new_targets.begin(), new_targets.end(),
              [](const Target* a, const Target* b) {
                return a->member.vm < b->member.vm;
              });
    new_targets.resize(used);
  }
  if (choice.takes_new) {
    return new_targets.empty() ? old_targets : new_targets;
  }
  return has_old_version ? old_targets : new_targets;
}

TargetChooser::Candidates TargetChooser::FindCandidates(
    const ChooseRequest& request, MonoTime now, bool* has_eligible) {
  std::array<std::vector<Target*>, 3> below_limit;
  std::vector<Target*> healthy;
  std::vector<Target*> failing;
  bool has_near = false;
  for (Target* const it :
       TargetsOfVersion(request.service, request.version, now)) {
    Target& target = *it;
    *has_eligible = true;
    has_near = has_near || DistanceTo(target) != Distance::kOtherRegion;
    const bool was_tried = std::find(request.tried.begin(), request.tried.end(),
                                     target.member.vm) != request.tried.end();
    if (was_tried) {
      continue;
    }
    if (!target.health.IsUsable(now)) {
      failing.push_back(&target);
      continue;
    }
    const auto distance = static_cast<std::size_t>(DistanceTo(target));
    healthy.push_back(&target);
    if (Utilization(target, request, now) < kFullUtilization) {
      below_limit.at(distance).push_back(&target);
    }
  }
  // If all targets are failing, fall back to choosing among all of them.
  std::vector<Target*>& rest = healthy.empty() ? failing : healthy;
  if (request.is_upload && has_near) {
    // Also when those of the own region have been tried.
    KeepOwnRegion(rest);
  } else if (request.is_large) {
    PreferOwnRegion(rest);
  }
  for (std::size_t i = 0; i < below_limit.size(); ++i) {
    const bool is_other_region =
        i == static_cast<std::size_t>(Distance::kOtherRegion);
    const bool is_excluded =
        is_other_region &&
        ((request.is_upload && has_near) ||
         (request.is_large && !rest.empty() &&
          DistanceTo(*rest.front()) != Distance::kOtherRegion));
    if (!below_limit.at(i).empty() && !is_excluded) {
      return {below_limit.at(i), false};
    }
  }
  return {rest, !healthy.empty()};
}

void TargetChooser::PreferOwnRegion(std::vector<Target*>& candidates) const {
  const auto is_near = [this](const Target* it) {
    return DistanceTo(*it) != Distance::kOtherRegion;
  };
  if (std::any_of(candidates.begin(), candidates.end(), is_near)) {
    KeepOwnRegion(candidates);
  }
}

void TargetChooser::KeepOwnRegion(std::vector<Target*>& candidates) const {
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [this](const Target* it) {
                                    return DistanceTo(*it) ==
                                           Distance::kOtherRegion;
                                  }),
                   candidates.end());
}

Duration TargetChooser::ExpectedDelay(const Target& target,
                                      const ChooseRequest& request,
                                      MonoTime now) const {
  static constexpr std::array<Duration, 3> kNetworkDelay = {
      std::chrono::milliseconds(0), std::chrono::milliseconds(5),
      std::chrono::milliseconds(80)};
  const Duration mean = target.has_load && target.load.mean_time.count() > 0
                            ? target.load.mean_time
                            : kDefaultMeanTime;
  const auto calls = Utilization(target, now) + 1.0;
  Duration link = request.is_large ? LinkWait(target, now) : Duration::zero();
  if (request.is_upload) {
    link = Duration(static_cast<Duration::rep>(
        InboundUse(target, now) * static_cast<double>(kFullLinkWait.count())));
  }
  return link + kNetworkDelay.at(static_cast<std::size_t>(DistanceTo(target))) +
         Duration(static_cast<Duration::rep>(static_cast<double>(mean.count()) *
                                             calls));
}

TargetChooser::Target* TargetChooser::PickByExpectedDelay(
    const std::vector<Target*>& candidates, const ChooseRequest& request,
    MonoTime now, Random& random) const {
  std::vector<Target*> near;
  std::vector<Target*> far;
  for (Target* const it : candidates) {
    const bool is_near = DistanceTo(*it) != Distance::kOtherRegion;
    (is_near ? near : far).push_back(it);
  }
  Target* const nearest = SampleByExpectedDelay(near, request, now, random);
  Target* const farther = SampleByExpectedDelay(far, request, now, random);
  if (nearest == nullptr || farther == nullptr) {
    return nearest == nullptr ? farther : nearest;
  }
  const bool is_faster =
      ExpectedDelay(*farther, request, now) + kOtherRegionMargin <
      ExpectedDelay(*nearest, request, now);
  return is_faster ? farther : nearest;
}

TargetChooser::Target* TargetChooser::SampleByExpectedDelay(
    const std::vector<Target*>& candidates, const ChooseRequest& request,
    MonoTime now, Random& random) const {
  Target* best = nullptr;
  for (int i = 0; i < kDelaySamples && !candidates.empty(); ++i) {
    Target* const drawn = candidates.at(random.Below(candidates.size()));
    if (best == nullptr || ExpectedDelay(*drawn, request, now) <
                               ExpectedDelay(*best, request, now)) {
      best = drawn;
    }
  }
  return best;
}

TargetChooser::Target* TargetChooser::PickLessLoaded(
    const std::vector<Target*>& candidates, const ChooseRequest& request,
    MonoTime now, Random& random) {
  if (candidates.empty()) {
    return nullptr;
  }
  const std::size_t n = candidates.size();
  Target* const first = candidates.at(random.Below(n));
  if (n == 1) {
    return first;
  }
  Target* second = candidates.at(random.Below(n - 1));
  if (second == first) {
    second = candidates.at(n - 1);
  }
  return Utilization(*second, request, now) < Utilization(*first, request, now)
             ? second
             : first;
}

}  // namespace cumin

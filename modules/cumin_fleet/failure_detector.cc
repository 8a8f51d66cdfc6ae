#include "cumin_fleet/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace cumin {

namespace {

/** Consecutive failed probes after which this daemon considers itself isolated
    and declares no member dead. */
constexpr int kFailuresUntilIsolated = 3;

}  // namespace

FailureDetector::FailureDetector(MemberTable& table,
                                 const DetectorSettings& settings)
    : table_(table), settings_(settings), schedule_(table) {
  table_.AddListener(this);
}

FailureDetector::~FailureDetector() { table_.RemoveListener(this); }

std::vector<DetectorAction> FailureDetector::Tick(MonoTime now,
                                                  Random& random) {
  std::vector<DetectorAction> actions;
  if (last_tick_ && now - *last_tick_ > settings_.pause_bound) {
    actions.emplace_back(ProcessPaused{now - *last_tick_});
    Resume(now);
  }
  last_tick_ = now;
  RequestIndirectProbes(now, random, &actions);
  if (now >= next_period_) {
    EndProbe(now);
    StartProbe(now, random, &actions);
  }
  CheckSuspicions(now);
  return actions;
}

void FailureDetector::OnAck(ProbeId probe, std::uint64_t known_incarnation,
                            MonoTime now) {
  if (known_incarnation >= fenced_below_) {
    fenced_below_ = 0;
  }
  if (probe_ && probe_->id == probe) {
    FinishProbe(true, now);
  }
}

void FailureDetector::OnProbeFailed(ProbeId probe, MonoTime now) {
  if (!probe_ || probe_->id != probe) {
    return;
  }
  probe_->failed = true;
  if (!probe_->own_region) {
    FinishProbe(false, now);
  }
}

void FailureDetector::OnIndirectAck(ProbeId probe, MonoTime now) {
  if (probe_ && probe_->id == probe) {
    FinishProbe(true, now);
  }
}

void FailureDetector::OnIndirectNack(ProbeId probe) {
  if (probe_ && probe_->id == probe) {
    ++probe_->nacks;
  }
}

bool FailureDetector::IsFenced() const {
  return fenced_below_ > 0 && table_.live_count() > 1;
}

Duration FailureDetector::SuspicionTime() const {
  const double members = static_cast<double>(table_.live_count());
  const double scale = std::max(1.0, std::log10(members));
  const double periods = settings_.suspicion_factor * scale;
  const auto healthy = static_cast<Duration::rep>(
      periods * static_cast<double>(settings_.probe_period.count()));
  return Scaled(Duration(healthy));
}

void FailureDetector::OnMemberChanged(const Member* /*before*/,
                                      const Member& after,
                                      MergeSource /*source*/) {
  const bool in_own_region = after.region == table_.self().region;
  if (after.state != MemberState::kSuspect || !in_own_region) {
    suspicions_.erase(after.vm);
    return;
  }
  const MonoTime now = last_tick_.value_or(MonoTime{});
  suspicions_[after.vm] = Suspicion{after.incarnation, now + SuspicionTime()};
}

void FailureDetector::OnMemberExpired(const Member& last) {
  suspicions_.erase(last.vm);
}

void FailureDetector::Resume(MonoTime now) {
  probe_.reset();
  next_period_ = now;
  SetHealthScore(settings_.max_health_score);
  for (auto& it : suspicions_) {
    it.second.deadline = now + SuspicionTime();
  }
  table_.RaiseIncarnation(now);
  fenced_below_ = table_.self().incarnation;
}

void FailureDetector::RequestIndirectProbes(
    MonoTime now, Random& random, std::vector<DetectorAction>* actions) {
  if (!probe_ || probe_->indirect_probes_sent || !probe_->own_region) {
    return;
  }
  const bool is_late = now - probe_->sent >= Scaled(settings_.ack_timeout);
  if (!is_late && !probe_->failed) {
    return;
  }
  probe_->indirect_probes_sent = true;
  const std::vector<VmId> helpers =
      schedule_.Helpers(probe_->target, settings_.indirect_probes, random);
  for (const VmId& it : helpers) {
    actions->emplace_back(SendIndirectProbe{probe_->id, it, probe_->target});
  }
}

void FailureDetector::EndProbe(MonoTime now) {
  if (!probe_) {
    return;
  }
  const Probe ended = *probe_;
  FinishProbe(false, now);
  if (!ended.own_region) {
    return;
  }
  if (ended.nacks == 0) {
    // No response at all, not even from the members asked to probe indirectly,
    // so this daemon itself may be unhealthy.
    SetHealthScore(health_score_ + 1);
  }
  table_.MarkUnresponsive(ended.target, ended.incarnation,
                          MemberState::kSuspect, now);
}

void FailureDetector::StartProbe(MonoTime now, Random& random,
                                 std::vector<DetectorAction>* actions) {
  next_period_ = now + Scaled(settings_.probe_period);
  const std::optional<VmId> target =
      schedule_.Next(random, regions_.RegionToRecheck());
  if (!target) {
    return;
  }
  const Member* member = table_.Find(*target);
  Probe probe;
  probe.id = next_probe_++;
  probe.target = *target;
  probe.incarnation = member->incarnation;
  probe.sent = now;
  probe.own_region = member->region == table_.self().region;
  if (IsLive(*member)) {
    probe_ = probe;
  }
  // The response of a dead member is not awaited; if it is alive again, it
  // refutes its entry by gossip.
  actions->emplace_back(SendProbe{probe.id, probe.target});
}

void FailureDetector::FinishProbe(bool answered, MonoTime now) {
  const Probe ended = *probe_;
  probe_.reset();
  if (!ended.own_region) {
    const Member* member = table_.Find(ended.target);
    if (member != nullptr) {
      regions_.OnProbe(member->region, answered, now);
    }
  }
  if (!answered) {
    ++consecutive_failures_;
    return;
  }
  consecutive_failures_ = 0;
  SetHealthScore(health_score_ - 1);
}

void FailureDetector::CheckSuspicions(MonoTime now) {
  std::map<VmId, Suspicion> ended;
  for (auto& it : suspicions_) {
    if (it.second.deadline > now) {
      continue;
    }
    if (IsIsolated()) {
      it.second.deadline = now + settings_.probe_period;
    } else {
      ended.insert(it);
    }
  }
  for (const auto& it : ended) {
    table_.MarkUnresponsive(it.first, it.second.incarnation, MemberState::kDead,
                            now);
  }
}

void FailureDetector::SetHealthScore(int score) {
  health_score_ = std::clamp(score, 0, settings_.max_health_score);
}

Duration FailureDetector::Scaled(Duration length) const {
  return length * (1 + health_score_);
}

bool FailureDetector::IsIsolated() const {
  return consecutive_failures_ >= kFailuresUntilIsolated;
}

}  // namespace cumin

#include "cumin_proxy/fleet_state.h"

#include <algorithm>

#include "cumin_core/logging.h"

namespace cumin {

namespace {

using Guard = std::lock_guard<std::mutex>;

constexpr std::size_t kPeersToBeReady = 3;

void LogChange(const Member* before, const Member& after) {
  if (before == nullptr) {
    CUMIN_LOG(info) << "member " << after.vm << " " << after.state;
  } else if (before->state != after.state) {
    CUMIN_LOG(info) << "member " << after.vm << " " << before->state << " -> "
                    << after.state << ", incarnation " << after.incarnation;
  }
}

/** The target on this VM as the fleet may use it; a daemon that ends takes its
    target with it, and one without a configuration runs no calls. */
std::optional<AnnouncedTarget> OwnTarget(const Blackboard& board) {
  if (!board.config.Current()) {
    return std::nullopt;
  }
  std::optional<AnnouncedTarget> target = board.target.Current();
  if (target && board.leaving) {
    target->state = TargetState::kLeaving;
  }
  return target;
}

}  // namespace

FleetState::FleetState(Blackboard& board, ConfigHolder& config,
                       const Member& self)
    : board_(board),
      config_(config),
      table_(self, MemberTableSettings{}),
      queue_(GossipSettings{}),
      pacer_(GossipPacerSettings{}),
      exchange_(table_, queue_),
      detector_(table_, DetectorSettings{}),
      anti_entropy_(AntiEntropySettings{}),
      readiness_(kPeersToBeReady),
      store_heard_(board.clock.Now()) {
  table_.AddListener(&queue_);
  table_.AddListener(this);
}

FleetState::~FleetState() { table_.RemoveListener(this); }

void FleetState::SetEndpoint(const Endpoint& endpoint) {
  const Guard lock(mutex_);
  table_.SetEndpoint(endpoint, board_.clock.Now());
}

std::vector<DetectorAction> FleetState::Tick() {
  const Guard lock(mutex_);
  const MonoTime now = board_.clock.Now();
  table_.SetTarget(OwnTarget(board_), now);
  table_.Expire(now);
  std::vector<DetectorAction> actions = detector_.Tick(now, board_.random);
  readiness_.SetKnownPeers(table_.live_count() - 1);
  if (!board_.ready && readiness_.IsReady(config_.Stamp().version)) {
    CUMIN_LOG(info) << "ready with version " << config_.Stamp().version;
    board_.ready = true;
  }
  Publish();
  return actions;
}

bool FleetState::TakeExtraGossip() {
  const Guard lock(mutex_);
  return pacer_.Take(board_.clock.Now(), queue_.HasRecentUpdate());
}

GossipMessage FleetState::Compose(const VmId& to) {
  const Guard lock(mutex_);
  GossipMessage message = exchange_.Compose(to);
  message.in_force = config_.Stamp();
  const auto known = last_known_.find(to);
  if (known != last_known_.end()) {
    message.known_version = known->second.version;
  }
  message.store_quiet = StoreQuietLocked(board_.clock.Now());
  return message;
}

bool FleetState::Hear(const GossipMessage& message) {
  const Guard lock(mutex_);
  const MonoTime now = board_.clock.Now();
  const GossipMergeResult absorbed = exchange_.Absorb(message, now);
  const Result<void> noted = anti_entropy_.OnPeerVersion(
      message.from, message.in_force, config_.Stamp(), now, board_.random);
  if (!noted) {
    CUMIN_LOG(error) << noted.error();
  }
  LastHeard& last = last_known_[message.from];
  last.version = std::max(last.version, message.in_force.version);
  last.at = board_.clock.WallNow();
  readiness_.RecordPeerVersion(
      message.from, std::max(message.in_force.version, message.known_version));
  const Member* peer = table_.Find(message.from);
  if (peer != nullptr && peer->region == table_.self().region) {
    store_heard_ = std::max(store_heard_, now - message.store_quiet);
  }
  Publish();
  return absorbed.needs_table_comparison;
}

void FleetState::OnProbeEnd(ProbeId probe, bool acked,
                            std::uint64_t known_incarnation) {
  const Guard lock(mutex_);
  const MonoTime now = board_.clock.Now();
  if (acked) {
    detector_.OnAck(probe, known_incarnation, now);
  } else {
    detector_.OnProbeFailed(probe, now);
  }
}

void FleetState::OnIndirectEnd(ProbeId probe, bool acked) {
  const Guard lock(mutex_);
  if (acked) {
    detector_.OnIndirectAck(probe, board_.clock.Now());
  } else {
    detector_.OnIndirectNack(probe);
  }
}

std::optional<PullFrom> FleetState::NextPull() {
  const Guard lock(mutex_);
  return anti_entropy_.Tick(config_.Stamp(), board_.clock.Now());
}

void FleetState::OnPullEnd(bool succeeded) {
  const Guard lock(mutex_);
  anti_entropy_.OnPullEnd(succeeded, board_.clock.Now(), board_.random);
}

void FleetState::MergeState(const std::vector<Member>& members) {
  const Guard lock(mutex_);
  for (const Member& it : members) {
    const auto merged =
        table_.Merge(it, MergeSource::kTableSync, board_.clock.Now());
    if (!merged) {
      CUMIN_LOG(warning) << "entry refused: " << merged.error();
    }
  }
  Publish();
}

std::vector<Member> FleetState::Page(const VmId& after,
                                     std::size_t limit) const {
  const Guard lock(mutex_);
  std::vector<Member> page;
  for (const Member& it : table_.All()) {
    if (after < it.vm && page.size() < limit) {
      page.push_back(it);
    }
  }
  return page;
}

std::vector<std::uint64_t> FleetState::BucketDigests() const {
  const Guard lock(mutex_);
  return table_.bucket_digests();
}

std::vector<Member> FleetState::Differing(
    const std::vector<std::uint64_t>& digests, std::size_t limit) const {
  const Guard lock(mutex_);
  std::vector<Member> members;
  const std::vector<std::uint64_t>& ours = table_.bucket_digests();
  for (int i = 0; i < MemberTable::kBuckets; ++i) {
    if (ours[i] == digests[i] || members.size() >= limit) {
      continue;
    }
    const std::vector<Member> bucket = table_.Bucket(i);
    members.insert(members.end(), bucket.begin(), bucket.end());
  }
  return members;
}

std::optional<Member> FleetState::Find(const VmId& vm) const {
  const Guard lock(mutex_);
  const Member* member = table_.Find(vm);
  return member == nullptr ? std::nullopt : std::make_optional(*member);
}

Member FleetState::Self() const {
  const Guard lock(mutex_);
  return table_.self();
}

std::vector<Member> FleetState::Live() const {
  const Guard lock(mutex_);
  return table_.Live();
}

std::vector<Member> FleetState::Expected() const {
  const Guard lock(mutex_);
  std::vector<Member> members;
  for (const Member& it : table_.All()) {
    if (it.state != MemberState::kLeft) {
      members.push_back(it);
    }
  }
  return members;
}

std::shared_ptr<const SpreadPlan> FleetState::Plan() {
  const Guard lock(mutex_);
  if (!plan_) {
    plan_ = std::make_shared<const SpreadPlan>(table_.Live(),
                                               board_.settings.store_region);
  }
  return plan_;
}

void FleetState::NoteStoreHeard(std::uint64_t version, Duration valid_for) {
  const Guard lock(mutex_);
  store_heard_ = board_.clock.Now() + valid_for;
  readiness_.RecordStoreVersion(version);
}

void FleetState::NoteStoreFailed() {
  const Guard lock(mutex_);
  store_heard_ = std::min(store_heard_, board_.clock.Now());
}

Duration FleetState::StoreQuiet() const {
  const Guard lock(mutex_);
  return StoreQuietLocked(board_.clock.Now());
}

MemberVersionReport FleetState::LastKnown(const VmId& vm) const {
  const Guard lock(mutex_);
  MemberVersionReport report;
  report.vm = vm;
  const Member* member = table_.Find(vm);
  if (member != nullptr) {
    report.endpoint = member->endpoint;
    report.region = member->region;
    report.failure_domain = member->failure_domain;
  }
  const auto last = last_known_.find(vm);
  if (last != last_known_.end()) {
    report.version = last->second.version;
    report.last_heard = last->second.at;
  }
  return report;
}

void FleetState::HearReport(const MemberVersionReport& report) {
  const Guard lock(mutex_);
  if (!report.reachable || table_.Find(report.vm) == nullptr) {
    return;
  }
  LastHeard& last = last_known_[report.vm];
  last.version = std::max(last.version, report.version);
  last.at = std::max(last.at, report.last_heard);
}

bool FleetState::IsFenced() const {
  const Guard lock(mutex_);
  return detector_.IsFenced();
}

void FleetState::Leave() {
  const Guard lock(mutex_);
  table_.Leave(board_.clock.Now());
  Publish();
}

void FleetState::OnMemberChanged(const Member* before, const Member& after,
                                 MergeSource /*source*/) {
  LogChange(before, after);
  view_is_stale_ = true;
  plan_.reset();
}

void FleetState::OnMemberExpired(const Member& last) {
  last_known_.erase(last.vm);
}

void FleetState::Publish() {
  if (view_is_stale_) {
    board_.fleet.Replace(table_.Live());
    view_is_stale_ = false;
  }
}

Duration FleetState::StoreQuietLocked(MonoTime now) const {
  return std::max<Duration>(Duration::zero(), now - store_heard_);
}

}  // namespace cumin

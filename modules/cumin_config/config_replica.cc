#include "cumin_config/config_replica.h"

#include <utility>

namespace cumin {

namespace {

constexpr std::size_t kMaxDeltas = 32;
constexpr std::size_t kMaxDeltaBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxBundles = 8;
constexpr std::size_t kMaxBundleHistoryBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kMaxHistory = 256;

std::size_t TextBytes(const ConfigBundle& bundle) {
  std::size_t bytes = 0;
  for (const ConfigPart& it : bundle.parts) {
    bytes += it.text.size();
  }
  return bytes;
}

}  // namespace

ConfigReplica::ConfigReplica(VersionGate& gate)
    : gate_(gate), deltas_(kMaxDeltas, kMaxDeltaBytes) {}

Result<GateDecision> ConfigReplica::TakeBundle(ConfigBundle bundle) {
  const GateDecision decision = CompareWithCurrent(bundle.head);
  if (decision != GateDecision::kTaken) {
    return decision;
  }
  ConfigDelta delta;
  if (!bundles_.empty()) {
    delta = MakeDelta(bundles_.back(), bundle);
  }
  return Install(std::move(bundle), std::move(delta));
}

Result<GateDecision> ConfigReplica::TakeDelta(const ConfigDelta& delta) {
  HeadRecord head;
  head.change = delta.change;
  head.manifest_digest = delta.manifest_digest;
  const GateDecision decision = CompareWithCurrent(head);
  if (decision != GateDecision::kTaken) {
    return decision;
  }
  if (bundles_.empty()) {
    return Error{ErrorCode::kConflict, "", 0, "from_version",
                 "no version is held to apply a delta to"};
  }
  Result<ConfigBundle> next = ApplyDelta(bundles_.back(), delta);
  if (!next) {
    return next.error();
  }
  Result<GateDecision> installed = Install(std::move(next.value()), delta);
  if (installed) {
    MergeHistory(delta.between);
  }
  return installed;
}

void ConfigReplica::MergeHistory(
    const std::vector<ConfigVersionRecord>& records) {
  for (const ConfigVersionRecord& it : records) {
    AddToHistory(it);
  }
}

std::uint64_t ConfigReplica::version() const {
  return bundles_.empty() ? 0 : bundles_.back().head.change.version;
}

const ConfigBundle* ConfigReplica::bundle() const {
  return bundles_.empty() ? nullptr : &bundles_.back();
}

const ConfigBundle* ConfigReplica::FindBundle(std::uint64_t version) const {
  if (version == 0) {
    return bundle();
  }
  for (const ConfigBundle& it : bundles_) {
    if (it.head.change.version == version) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<ConfigDelta> ConfigReplica::DeltaFrom(
    std::uint64_t version) const {
  return deltas_.From(version);
}

std::vector<ConfigVersionRecord> ConfigReplica::History(
    std::size_t limit) const {
  std::vector<ConfigVersionRecord> records;
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    if (records.size() == limit) {
      break;
    }
    if (it->first <= version()) {
      records.push_back(it->second);
    }
  }
  return records;
}

GateDecision ConfigReplica::CompareWithCurrent(const HeadRecord& head) const {
  if (head.change.version > version()) {
    return GateDecision::kTaken;
  }
  if (head.change.version < version()) {
    return GateDecision::kOlder;
  }
  return head.manifest_digest == bundles_.back().head.manifest_digest
             ? GateDecision::kSame
             : GateDecision::kDiffers;
}

Result<GateDecision> ConfigReplica::Install(ConfigBundle bundle,
                                            ConfigDelta delta) {
  Result<RefPtr<const ConfigSnapshot>> snapshot = MakeSnapshot(bundle);
  if (!snapshot) {
    return snapshot.error();
  }
  const GateDecision decision = gate_.Offer(std::move(snapshot.value()));
  if (decision != GateDecision::kTaken) {
    return decision;
  }
  if (!bundles_.empty()) {
    deltas_.Add(std::move(delta));
  }
  AddToHistory(bundle.head.change);
  KeepBundle(std::move(bundle));
  return decision;
}

void ConfigReplica::KeepBundle(ConfigBundle bundle) {
  bundles_.push_back(std::move(bundle));
  std::size_t bytes = 0;
  for (const ConfigBundle& it : bundles_) {
    bytes += TextBytes(it);
  }
  while (bundles_.size() > 1 &&
         (bundles_.size() > kMaxBundles || bytes > kMaxBundleHistoryBytes)) {
    bytes -= TextBytes(bundles_.front());
    bundles_.pop_front();
  }
}

void ConfigReplica::AddToHistory(const ConfigVersionRecord& record) {
  history_.emplace(record.version, record);
  if (history_.size() > kMaxHistory) {
    history_.erase(history_.begin());
  }
}

}  // namespace cumin

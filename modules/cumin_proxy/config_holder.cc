#include "cumin_proxy/config_holder.h"

#include <algorithm>

#include "cumin_core/logging.h"

namespace cumin {

namespace {

/** Digits of the digest that ride on each probe. */
constexpr std::size_t kStampDigits = 16;

using Guard = std::lock_guard<std::mutex>;

}  // namespace

ConfigHolder::ConfigHolder(VersionGate& gate, MetricRegistry& metrics)
    : replica_(gate),
      version_metric_(metrics.GetCounter("config_version")),
      since_metric_(metrics.GetCounter("config_in_force_since_ms")) {}

Result<GateDecision> ConfigHolder::Take(const ConfigBundle& bundle,
                                        WallTime now) {
  const Guard lock(mutex_);
  Result<GateDecision> decision = replica_.TakeBundle(bundle);
  Note(decision, now);
  return decision;
}

Result<GateDecision> ConfigHolder::TakeDelta(const ConfigDelta& delta,
                                             WallTime now) {
  const Guard lock(mutex_);
  Result<GateDecision> decision = replica_.TakeDelta(delta);
  Note(decision, now);
  return decision;
}

std::shared_ptr<const ConfigBundle> ConfigHolder::Find(
    std::uint64_t version) const {
  const Guard lock(mutex_);
  const ConfigBundle* bundle = replica_.FindBundle(version);
  return bundle == nullptr ? nullptr
                           : std::make_shared<const ConfigBundle>(*bundle);
}

std::optional<ConfigDelta> ConfigHolder::DeltaFrom(
    std::uint64_t version) const {
  const Guard lock(mutex_);
  return replica_.DeltaFrom(version);
}

std::vector<ConfigVersionRecord> ConfigHolder::History(
    std::size_t limit) const {
  const Guard lock(mutex_);
  return replica_.History(limit);
}

VersionStamp ConfigHolder::Stamp() const {
  const Guard lock(mutex_);
  const ConfigBundle* held = replica_.bundle();
  if (held == nullptr) {
    return VersionStamp{};
  }
  return VersionStamp{held->head.change.version,
                      held->head.manifest_digest.substr(0, kStampDigits)};
}

WallTime ConfigHolder::Since() const {
  const Guard lock(mutex_);
  return since_;
}

void ConfigHolder::Note(const Result<GateDecision>& decision, WallTime now) {
  if (!decision || decision.value() != GateDecision::kTaken) {
    return;
  }
  since_ = std::max(since_, now);
  version_metric_.Add(replica_.version() - version_metric_.value());
  since_metric_.Add(ToUnixMillis(since_) - since_metric_.value());
  CUMIN_LOG(info) << "configuration version " << replica_.version()
                  << " in force";
}

}  // namespace cumin

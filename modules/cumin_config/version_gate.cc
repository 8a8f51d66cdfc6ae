#include "cumin_config/version_gate.h"

#include <utility>

namespace cumin {

GateDecision VersionGate::Offer(RefPtr<const ConfigSnapshot> snapshot) {
  // The swap moves the replaced snapshot into the parameter, so it is released
  // after the mutex is unlocked.
  const std::lock_guard<std::mutex> lock(mutex_);
  if (current_ == nullptr || snapshot->version() > current_->version()) {
    std::swap(current_, snapshot);
    return GateDecision::kTaken;
  }
  if (snapshot->version() < current_->version()) {
    return GateDecision::kOlder;
  }
  return snapshot->digest() == current_->digest() ? GateDecision::kSame
                                                  : GateDecision::kDiffers;
}

RefPtr<const ConfigSnapshot> VersionGate::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

std::uint64_t VersionGate::Version() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_ == nullptr ? 0 : current_->version();
}

}  // namespace cumin

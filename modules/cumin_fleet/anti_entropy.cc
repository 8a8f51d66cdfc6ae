#include "cumin_fleet/anti_entropy.h"

#include <algorithm>

namespace cumin {

AntiEntropy::AntiEntropy(const AntiEntropySettings& settings)
    : settings_(settings), backoff_(settings.backoff) {}

Result<void> AntiEntropy::OnPeerVersion(const VmId& peer,
                                        const VersionStamp& theirs,
                                        const VersionStamp& ours, MonoTime now,
                                        Random& random) {
  if (theirs.version == ours.version && theirs.digest != ours.digest) {
    return Error{
        ErrorCode::kProtocol, peer.str(), 0, "in_force",
        "has different contents for version " + std::to_string(ours.version)};
  }
  if (!IsAhead(theirs, ours)) {
    return Ok();
  }
  if (!pending_) {
    const Duration wait(random.Below(settings_.max_pull_delay.count() + 1));
    not_before_ = std::max(not_before_, now + wait);
  }
  if (!pending_ || pending_->version <= theirs.version) {
    pending_ = PullFrom{peer, theirs.version};
  }
  return Ok();
}

std::optional<PullFrom> AntiEntropy::Tick(const VersionStamp& ours,
                                          MonoTime now) {
  if (pulling_ || !pending_) {
    return std::nullopt;
  }
  if (pending_->version <= ours.version) {
    pending_.reset();
    return std::nullopt;
  }
  if (now < not_before_) {
    return std::nullopt;
  }
  pulling_ = true;
  const std::optional<PullFrom> pull = pending_;
  pending_.reset();
  return pull;
}

void AntiEntropy::OnPullEnd(bool succeeded, MonoTime now, Random& random) {
  pulling_ = false;
  if (succeeded) {
    backoff_.Reset();
    return;
  }
  not_before_ = now + backoff_.Next(random);
}

bool AntiEntropy::IsAhead(const VersionStamp& theirs,
                          const VersionStamp& ours) const {
  return theirs.version > ours.version;
}

}  // namespace cumin

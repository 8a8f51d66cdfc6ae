#pragma once

#include <cstdint>
#include <optional>

#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/retry_backoff.h"

namespace cumin {

/** Request to pull the configuration from a peer. */
struct PullFrom {
  VmId peer;
  /** Version that the peer reported as in force. */
  std::uint64_t version = 0;
};

/** Timing of AntiEntropy. */
struct AntiEntropySettings {
  /** Longest delay between learning of a newer version and pulling it. The
      distribution tree usually delivers the version within this time. */
  Duration max_pull_delay = std::chrono::milliseconds(600);
  BackoffSettings backoff;
};

/** Repairs configuration updates that the distribution tree did not deliver:
    compares the versions in force carried by gossip messages and pulls from a
    peer that is ahead.

    At most one pull runs at a time, after a random delay. A daemon whose peer
    is behind does nothing, since the peer learns of the newer version in the
    same exchange and pulls it itself.

    Not thread-safe.
*/
class AntiEntropy {
 public:
  explicit AntiEntropy(const AntiEntropySettings& settings);
  virtual ~AntiEntropy() = default;

  /** Handles the version in force reported by a peer.
      @param theirs  the peer's version in force
      @param ours    this daemon's version in force
      @returns ErrorCode::kProtocol when both have the same version number with
      different contents. This must be reported and is never repaired
      automatically. */
  Result<void> OnPeerVersion(const VmId& peer, const VersionStamp& theirs,
                             const VersionStamp& ours, MonoTime now,
                             Random& random);

  /** @param ours  this daemon's version in force
      @returns the pull to start now, if any */
  std::optional<PullFrom> Tick(const VersionStamp& ours, MonoTime now);

  /** Records the end of the running pull.
      @param succeeded  false when the peer refused, failed or had nothing
      newer */
  void OnPullEnd(bool succeeded, MonoTime now, Random& random);

 protected:
  /** @returns true when the peer's version should be pulled */
  virtual bool IsAhead(const VersionStamp& theirs,
                       const VersionStamp& ours) const;

 private:
  const AntiEntropySettings settings_;
  RetryBackoff backoff_;
  std::optional<PullFrom> pending_;
  MonoTime not_before_;
  bool pulling_ = false;
};

}  // namespace cumin

#pragma once

#include <cstdint>
#include <optional>

#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/retry_backoff.h"

namespace cumin {

/** Pull the configuration from a peer. */
struct PullFrom {
  VmId peer;
  /** The version that the peer said it has in force. */
  std::uint64_t version = 0;
};

/** Times of AntiEntropy. */
struct AntiEntropySettings {
  /** The longest wait between hearing of a newer version and pulling it; the
      tree usually delivers first. */
  Duration grace = std::chrono::milliseconds(600);
  BackoffSettings backoff;
};

/** Repairs what the spread tree missed: compares the versions in force that
    ride on each exchange, and pulls from the peer that is ahead.

    At most one pull is under way, after a jittered wait. A daemon whose peer
    is behind does nothing; the peer hears of it in the same exchange.

    Not thread-safe.
*/
class AntiEntropy {
 public:
  /** @param settings  times */
  explicit AntiEntropy(const AntiEntropySettings& settings);
  virtual ~AntiEntropy() = default;

  /** A peer told its version in force.
      @param peer   the peer
      @param theirs its version
      @param ours   this daemon's
      @returns ErrorCode::kProtocol when both have one version number with
      different contents, which must be reported and is never repaired by
      guessing */
  Result<void> OnPeerVersion(const VmId& peer, const VersionStamp& theirs,
                             const VersionStamp& ours, MonoTime now,
                             Random& random);

  /** @param ours  this daemon's version in force
      @returns the pull to start now, if any */
  std::optional<PullFrom> Tick(const VersionStamp& ours, MonoTime now);

  /** The pull under way ended.
      @param succeeded  false when the peer refused, failed or had nothing
      newer */
  void OnPullEnd(bool succeeded, MonoTime now, Random& random);

 protected:
  /** @returns true when the peer's version is to be pulled */
  virtual bool IsAhead(const VersionStamp& theirs,
                       const VersionStamp& ours) const;

 private:
  const AntiEntropySettings settings_;
  RetryBackoff backoff_;
  std::optional<PullFrom> waiting_;
  MonoTime not_before_;
  bool pulling_ = false;
};

}  // namespace cumin

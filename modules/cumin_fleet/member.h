#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/withdrawal.h"

namespace cumin {

/** Lifecycle state of the target beside a daemon. */
enum class TargetState {
  /** Announced, but not yet able to accept calls. */
  kStarting,
  kReady,
  /** Finishing the calls it has; accepts no new ones. */
  kLeaving,
};

/** Target on a daemon's VM, as announced by the target itself. */
struct AnnouncedTarget {
  ServiceId service;
  /** Address at which the daemon beside it reaches the target. */
  Endpoint endpoint;
  /** Number of calls that it can execute concurrently. */
  int slots = 0;
  TargetState state = TargetState::kStarting;
  /** Version of its software; empty where versions are not rolled out. */
  std::string version = {};

  friend bool operator==(const AnnouncedTarget& a, const AnnouncedTarget& b) {
    return a.service == b.service && a.endpoint == b.endpoint &&
           a.slots == b.slots && a.state == b.state && a.version == b.version;
  }
};

/** Liveness of a daemon as known to the fleet. */
enum class MemberState {
  kAlive,
  /** Did not respond to a probe; has time to refute the suspicion. */
  kSuspect,
  /** Did not refute the suspicion in time. */
  kDead,
  /** Announced its own shutdown. */
  kLeft,
};

/** Entry of one daemon in the member table. */
struct Member {
  VmId vm;
  /** Address for other daemons and callers. */
  Endpoint endpoint;
  RegionId region;
  FailureDomainId failure_domain;
  /** Increases whenever the member changes its own entry. A restarted daemon
      continues above the value of its previous run. */
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  /** Target on its VM, if one has been announced. */
  std::optional<AnnouncedTarget> target;
  /** The last withdrawal of a target on its VM that any daemon knows; outlives
      the incarnation that announced it. */
  std::optional<Withdrawal> withdrawal;

  friend bool operator==(const Member& a, const Member& b) {
    return a.vm == b.vm && a.endpoint == b.endpoint && a.region == b.region &&
           a.failure_domain == b.failure_domain &&
           a.incarnation == b.incarnation && a.state == b.state &&
           a.target == b.target && a.withdrawal == b.withdrawal;
  }
  friend bool operator!=(const Member& a, const Member& b) { return !(a == b); }
};

/** Upper limit of incarnations, itself excluded; JSON numbers are exact up to
    this value. */
constexpr std::uint64_t kMaxIncarnation = 1ULL << 53U;

/** Upper limit of a target's slots. */
constexpr int kMaxTargetSlots = 100000;

/** @returns "alive", "suspect", "dead" or "left" */
const char* ToString(MemberState state);

std::ostream& operator<<(std::ostream& out, MemberState state);

/** @returns "starting", "ready" or "leaving" */
const char* ToString(TargetState state);

/** @returns true for a member that may still be running: alive or suspect */
inline bool IsLive(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

/** Validates an entry received from a peer.
    @returns success, or ErrorCode::kInvalid naming the invalid field */
Result<void> CheckMember(const Member& member);

/** @returns an upper bound of the encoded size of the entry, in bytes */
std::size_t EstimateBytes(const Member& member);

/** Decides which of two entries of a member takes precedence. At the same
    incarnation, the states rank alive, suspect, dead, left.
    @returns true when `received` replaces `stored`: its incarnation is higher,
    or equal with a state of higher rank */
bool Supersedes(const Member& received, const Member& stored);

}  // namespace cumin

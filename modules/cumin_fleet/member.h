#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"

namespace cumin {

/** Where the target beside a daemon stands in its life. */
enum class TargetState {
  /** Announced and not yet able to take work. */
  kStarting,
  kReady,
  /** Finishing the work it has; takes no new work. */
  kLeaving,
};

/** The target that a daemon's VM runs, as the target announced itself. */
struct AnnouncedTarget {
  ServiceId service;
  /** Where the daemon beside it reaches the target. */
  Endpoint endpoint;
  /** Calls it can execute at the same time. */
  int slots = 0;
  TargetState state = TargetState::kStarting;

  friend bool operator==(const AnnouncedTarget& a, const AnnouncedTarget& b) {
    return a.service == b.service && a.endpoint == b.endpoint &&
           a.slots == b.slots && a.state == b.state;
  }
};

/** What the fleet believes of a daemon. */
enum class MemberState {
  kAlive,
  /** Did not answer a probe; given time to refute. */
  kSuspect,
  /** Refuted nothing in that time. */
  kDead,
  /** Said that it ends. */
  kLeft,
};

/** One daemon as other daemons know it. */
struct Member {
  VmId vm;
  /** Where other daemons and callers reach it. */
  Endpoint endpoint;
  RegionId region;
  FailureDomainId failure_domain;
  /** Grows each time the member itself changes its entry; a restarted daemon
      continues above its earlier one. */
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  /** The target on its VM, when one has announced itself. */
  std::optional<AnnouncedTarget> target;

  friend bool operator==(const Member& a, const Member& b) {
    return a.vm == b.vm && a.endpoint == b.endpoint && a.region == b.region &&
           a.failure_domain == b.failure_domain &&
           a.incarnation == b.incarnation && a.state == b.state &&
           a.target == b.target;
  }
  friend bool operator!=(const Member& a, const Member& b) { return !(a == b); }
};

/** The highest incarnation that is accepted; JSON numbers hold it exactly. */
constexpr std::uint64_t kMaxIncarnation = 1ULL << 53U;

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

/** Checks an entry heard from a peer.
    @returns success, or ErrorCode::kInvalid naming the impossible field */
Result<void> CheckMember(const Member& member);

/** @returns an upper estimate of the entry's size on the wire, in bytes */
std::size_t EstimateBytes(const Member& member);

/** Orders what is believed of one member at one incarnation: alive, suspect,
    dead, left.
    @returns true when `heard` replaces `held`: its incarnation is higher, or
    equal with a later state */
bool Supersedes(const Member& heard, const Member& held);

}  // namespace cumin

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "soak/fault_proxy.h"

namespace cumin::test {

/** A fault that is injected into the mesh from outside. */
enum class FaultKind {
  /** SIGKILL of a daemon, which is restarted after the fault's length. */
  kKill,
  /** SIGTERM of a daemon, which is restarted once it has exited. */
  kTerminate,
  /** SIGSTOP of a daemon, then SIGCONT after the fault's length. */
  kPause,
  /** A LinkFault between a daemon and the store. */
  kStoreLink,
  /** A LinkFault between a daemon and its target. */
  kTargetLink,
  /** The store refuses every request. */
  kStoreDown,
  /** The store carries out changes but does not answer them. */
  kStoreLosesAnswers,
  /** The store discards its change history. */
  kStoreForgets,
  /** All leases in the store expire. */
  kLeasesEnd,
  /** A target leaves; a new one replaces it after the fault's length. */
  kTargetLeaves,
  /** The operator changes the configuration. */
  kConfiguration,
};

/** @returns the kind's name in lower case, with hyphens */
const char* ToString(FaultKind kind);

struct FaultEvent {
  /** Offset from the start of the run. */
  Duration at{0};
  Duration length{0};
  FaultKind kind = FaultKind::kKill;
  /** The VM affected; unused by kinds that affect the store. */
  int vm = 0;
  /** Used by kStoreLink and kTargetLink only. */
  LinkFault link = LinkFault::kNone;

  friend bool operator==(const FaultEvent& a, const FaultEvent& b) {
    return a.at == b.at && a.length == b.length && a.kind == b.kind &&
           a.vm == b.vm && a.link == b.link;
  }
};

/** @returns one line for the report, without a line break */
std::string Describe(const FaultEvent& event);

/** The size of a run and the number of its faults. */
struct FaultPlan {
  int vms = 6;
  Duration length = std::chrono::seconds(8);
  /** The least number of faults; a series at the end may exceed it. */
  int faults = 12;
};

/** Generates the faults of a run: single ones, series on one VM, and faults
    that overlap.
    @returns the events ordered by time; the same seed gives the same events */
std::vector<FaultEvent> DrawFaults(const FaultPlan& plan, std::uint64_t seed);

}  // namespace cumin::test

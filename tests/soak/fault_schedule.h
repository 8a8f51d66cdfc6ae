#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "soak/fault_proxy.h"

namespace cumin::test {

/** What is done to the mesh from outside. */
enum class FaultKind {
  /** SIGKILL of a daemon, which starts again after the fault's length. */
  kKill,
  /** SIGTERM of a daemon, which starts again once it has ended. */
  kTerminate,
  /** SIGSTOP of a daemon, then SIGCONT. */
  kPause,
  /** The link between a daemon and the store. */
  kStoreLink,
  /** The link between a daemon and its target. */
  kTargetLink,
  /** The store refuses everything. */
  kStoreDown,
  /** The store does what changes something and does not answer. */
  kStoreLosesAnswers,
  /** The store forgets its history. */
  kStoreForgets,
  /** All leases end. */
  kLeasesEnd,
  /** A target leaves; a new one comes after the fault's length. */
  kTargetLeaves,
  /** The operator changes the configuration. */
  kConfiguration,
};

/** @returns the kind's name in lower case with dashes */
const char* ToString(FaultKind kind);

/** One fault of a run. */
struct FaultEvent {
  /** From the start of the run. */
  Duration at{0};
  Duration length{0};
  FaultKind kind = FaultKind::kKill;
  /** The VM that it strikes, where it strikes one. */
  int vm = 0;
  /** For kStoreLink and kTargetLink. */
  LinkFault link = LinkFault::kNone;

  friend bool operator==(const FaultEvent& a, const FaultEvent& b) {
    return a.at == b.at && a.length == b.length && a.kind == b.kind &&
           a.vm == b.vm && a.link == b.link;
  }
};

/** @returns one line for a report */
std::string Describe(const FaultEvent& event);

/** How much is to happen in a run. */
struct FaultPlan {
  int vms = 6;
  Duration length = std::chrono::seconds(8);
  /** On average; each is the start of a series now and then. */
  int faults = 12;
};

/** Draws the faults of a run: single ones, series that strike one VM again and
    again, and faults that overlap.
    @returns the events in the order of their time, the same for a seed */
std::vector<FaultEvent> DrawFaults(const FaultPlan& plan, std::uint64_t seed);

}  // namespace cumin::test

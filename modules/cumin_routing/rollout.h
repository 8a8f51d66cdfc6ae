#pragma once

#include <cstdint>
#include <string>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** An operator's order to move the traffic of a service to targets of another
    version of their software. */
struct RolloutOrder {
  ServiceId service;
  std::string to_version;
  /** Time in which the traffic should be moved. */
  Duration duration{0};
  /** Era and revision of the order in the store; a later order replaces an
      earlier one. */
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  friend bool operator==(const RolloutOrder& a, const RolloutOrder& b) {
    return a.service == b.service && a.to_version == b.to_version &&
           a.duration == b.duration && a.era == b.era &&
           a.revision == b.revision;
  }
};

/** Progress of a roll-out. The last two states are final. */
enum class RolloutState { kActive, kComplete, kRolledBack };

/** @returns "active", "complete" or "rolled-back" */
const char* ToString(RolloutState state);

/** A roll-out as known to one daemon. */
struct Rollout {
  RolloutOrder order;
  RolloutState state = RolloutState::kActive;
  /** Fraction of the service's requests that go to targets of the new version.
   */
  double share = 0;
  /** Increases with each decision; the decision with the highest stamp
      applies. */
  std::uint64_t stamp = 0;

  /** @returns true if the order is later than the other one */
  bool IsLaterOrder(const Rollout& other) const {
    return order.era != other.order.era ? order.era > other.order.era
                                        : order.revision > other.order.revision;
  }

  friend bool operator==(const Rollout& a, const Rollout& b) {
    return a.order == b.order && a.state == b.state && a.share == b.share &&
           a.stamp == b.stamp;
  }
};

/** Merges what a peer knows of the same service's roll-out. A later order
    replaces an earlier one; of one order, a final state is never left, and the
    roll-back goes before the completion.
    @param[in,out] known  what this daemon knows
    @returns true if it changed */
bool MergeRollout(const Rollout& received, Rollout* known);

/** Which targets of a service a request may go to while a version is rolled
    out. */
struct VersionChoice {
  /** The new version; empty when there is no roll-out. */
  std::string version;
  /** The request goes to the new version. */
  bool takes_new = false;
  /** Fraction of the targets of the new version that are used. */
  double new_targets = 1;

  friend bool operator==(const VersionChoice& a, const VersionChoice& b) {
    return a.version == b.version && a.takes_new == b.takes_new &&
           a.new_targets == b.new_targets;
  }
};

/** @param unit  random number, uniformly distributed in [0, 1)
    @returns the choice for one request */
VersionChoice ChooseVersion(const Rollout& rollout, double unit);

}  // namespace cumin

#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cumin_config/config_replica.h"
#include "cumin_core/metrics.h"
#include "cumin_core/time.h"
#include "cumin_fleet/gossip_message.h"

namespace cumin {

/** The daemon's ConfigReplica behind a lock, and since when its version is in
    force. Thread-safe; its lock is held before the gate's. */
class ConfigHolder {
 public:
  /** @param gate     receives each new version's snapshot
      @param metrics  shows the version as config_version and since when as
      config_in_force_since_ms; both outlive this */
  ConfigHolder(VersionGate& gate, MetricRegistry& metrics);

  /** Takes a whole bundle. @see ConfigReplica::TakeBundle */
  Result<GateDecision> Take(const ConfigBundle& bundle, WallTime now);

  /** Takes a delta. @see ConfigReplica::TakeDelta */
  Result<GateDecision> TakeDelta(const ConfigDelta& delta, WallTime now);

  /** @returns a kept version whole, 0 for the newest, or null */
  std::shared_ptr<const ConfigBundle> Find(std::uint64_t version) const;

  /** @returns one delta that leads from a version to the one held, if the
      versions between are still kept */
  std::optional<ConfigDelta> DeltaFrom(std::uint64_t version) const;

  /** @returns the newest known records, newest first */
  std::vector<ConfigVersionRecord> History(std::size_t limit) const;

  /** @returns the version in force and the first digits of its digest */
  VersionStamp Stamp() const;

  /** @returns since when the version has been in force */
  WallTime Since() const;

 private:
  void Note(const Result<GateDecision>& decision, WallTime now);

  mutable std::mutex mutex_;
  ConfigReplica replica_;
  WallTime since_;
  Counter& version_metric_;
  Counter& since_metric_;
};

}  // namespace cumin

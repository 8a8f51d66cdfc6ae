#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_config/config_delta.h"
#include "cumin_config/recent_deltas.h"
#include "cumin_config/version_gate.h"
#include "cumin_core/error.h"

namespace cumin {

/** A daemon's copy of the configuration: the bundle in force, recent deltas for
    peers that are behind, some earlier bundles and the known history.

    Every update is validated as a whole, and the version never decreases. Not
    thread-safe, in contrast to the VersionGate that it updates.
*/
class ConfigReplica {
 public:
  /** @param gate  receives every installed version; outlives this object */
  explicit ConfigReplica(VersionGate& gate);

  /** Installs a complete bundle if it is newer and valid.
      @returns the decision; an error if the bundle is invalid, with the replica
      unchanged */
  Result<GateDecision> TakeBundle(ConfigBundle bundle);

  /** Installs the version that a delta produces if it is newer, applies to the
      current bundle and produces a valid one.
      @returns the decision; on error the replica is unchanged and the caller
      requests the complete bundle */
  Result<GateDecision> TakeDelta(const ConfigDelta& delta);

  /** Adds history records received from peers or the store. */
  void MergeHistory(const std::vector<ConfigVersionRecord>& records);

  /** @returns the current version; 0 for none */
  std::uint64_t version() const;

  /** @returns the current bundle, or null; valid until the next call to
      TakeBundle or TakeDelta */
  const ConfigBundle* bundle() const;

  /** @param version  0 for the current version
      @returns the bundle, or null if it is not retained; valid until the next
      call to TakeBundle or TakeDelta */
  const ConfigBundle* FindBundle(std::uint64_t version) const;

  /** @returns the delta from a peer's version to the current one, or nullopt if
      the peer needs the complete bundle */
  std::optional<ConfigDelta> DeltaFrom(std::uint64_t version) const;

  /** @returns up to `limit` records, newest first, without versions newer than
      the current one */
  std::vector<ConfigVersionRecord> History(std::size_t limit) const;

 private:
  GateDecision CompareWithCurrent(const HeadRecord& head) const;
  Result<GateDecision> Install(ConfigBundle bundle, ConfigDelta delta);
  void KeepBundle(ConfigBundle bundle);
  void AddToHistory(const ConfigVersionRecord& record);

  VersionGate& gate_;
  RecentDeltas deltas_;
  /** Oldest first; the last one is in force. */
  std::deque<ConfigBundle> bundles_;
  std::map<std::uint64_t, ConfigVersionRecord> history_;
};

}  // namespace cumin

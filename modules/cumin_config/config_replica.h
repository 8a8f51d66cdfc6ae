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

/** What a daemon keeps of the configuration: the bundle in force, the deltas to
    bring peers up to date, some earlier bundles and the known history.

    Validates whole what it is given and moves forward only. Not thread-safe;
   the gate that it feeds is.
*/
class ConfigReplica {
 public:
  /** @param gate  receives each version that is taken; outlives this object */
  explicit ConfigReplica(VersionGate& gate);

  /** Takes a whole bundle if it is newer and valid.
      @returns what was done, or why the bundle is not valid; then nothing has
      changed */
  Result<GateDecision> TakeBundle(ConfigBundle bundle);

  /** Takes a delta if it is newer, applies to the bundle held and leads to a
      valid one.
      @returns what was done, or an error; then nothing has changed, and the
      caller asks for the whole bundle */
  Result<GateDecision> TakeDelta(const ConfigDelta& delta);

  /** Adds records that peers or the store know. */
  void LearnHistory(const std::vector<ConfigVersionRecord>& records);

  /** @returns the version held; 0 for none */
  std::uint64_t version() const;

  /** @returns the bundle held, or null; valid until the next Take */
  const ConfigBundle* bundle() const;

  /** @returns the bundle of a version, or null when it is not kept; 0 means the
      newest; valid until the next Take */
  const ConfigBundle* FindBundle(std::uint64_t version) const;

  /** @returns the delta from a peer's version to the one held, or nothing when
      the peer needs the whole bundle */
  std::optional<ConfigDelta> DeltaFrom(std::uint64_t version) const;

  /** @returns the newest known records, newest first, without those above the
      version held */
  std::vector<ConfigVersionRecord> History(std::size_t limit) const;

 private:
  GateDecision CompareWithHeld(const HeadRecord& head) const;
  Result<GateDecision> Install(ConfigBundle bundle, ConfigDelta delta);
  void KeepBundle(ConfigBundle bundle);
  void Learn(const ConfigVersionRecord& record);

  VersionGate& gate_;
  RecentDeltas deltas_;
  /** Oldest first; the last one is in force. */
  std::deque<ConfigBundle> bundles_;
  std::map<std::uint64_t, ConfigVersionRecord> history_;
};

}  // namespace cumin

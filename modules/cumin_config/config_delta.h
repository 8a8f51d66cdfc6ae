#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_core/error.h"

namespace cumin {

/** The difference between a configuration version and a later one.

    Contains only the parts that changed. The receiver derives the new manifest
    from the old one and verifies its digest, so the size of a delta depends on
    the size of the change and not on the number of customers.
*/
struct ConfigDelta {
  std::uint64_t from_version = 0;
  /** Digest of the head record that the delta applies to. */
  std::string from_digest;
  /** Record of the version that the delta produces; its `changed_parts` are
      relative to the immediately preceding version. */
  ConfigVersionRecord change;
  std::string previous_digest;
  std::string manifest_digest;
  /** Records of the intermediate versions, oldest first, so that a daemon that
      skips these versions still has their history. */
  std::vector<ConfigVersionRecord> between;
  /** Parts that were added or modified, ordered by name. */
  std::vector<ConfigPart> changed;
  /** Parts that were removed, ordered by name. */
  std::vector<PartName> removed;

  friend bool operator==(const ConfigDelta& a, const ConfigDelta& b) {
    return a.from_version == b.from_version && a.from_digest == b.from_digest &&
           a.change == b.change && a.previous_digest == b.previous_digest &&
           a.manifest_digest == b.manifest_digest && a.between == b.between &&
           a.changed == b.changed && a.removed == b.removed;
  }
};

/** Computes the delta between two versions of the same history. `between` stays
    empty.
    @param from  the lower version
    @param to    the higher version */
ConfigDelta MakeDelta(const ConfigBundle& from, const ConfigBundle& to);

/** Applies a delta.
    @returns the complete new bundle, with its manifest digest verified.
    ErrorCode::kConflict if the delta applies to a different bundle,
    ErrorCode::kInvalid if the result does not match its digest; the receiver
    then requests the complete bundle. */
Result<ConfigBundle> ApplyDelta(const ConfigBundle& bundle,
                                const ConfigDelta& delta);

/** Combines two consecutive deltas.
    @param first   from version k to m
    @param second  from version m to n
    @returns the delta from k to n, or ErrorCode::kConflict if `second` does not
             start at the version that `first` produces */
Result<ConfigDelta> MergeDeltas(const ConfigDelta& first,
                                const ConfigDelta& second);

/** @returns the delta as a JSON object */
Json::Value ToJson(const ConfigDelta& delta);

/** Reads a delta; errors are recorded in `fields`. */
ConfigDelta ReadConfigDelta(JsonObject& fields);

}  // namespace cumin

#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_core/error.h"

namespace cumin {

/** What turns one configuration version into a later one.

    It carries only the parts that changed. The new manifest is not carried: the
    receiver derives it from the old one and checks its digest, so that the
    size grows with the change and not with the number of customers.
*/
struct ConfigDelta {
  std::uint64_t from_version = 0;
  /** Digest of the head record that the delta applies to. */
  std::string from_digest;
  /** The version that it leads to; `changed_parts` is against the version
      right before that one. */
  ConfigVersionRecord change;
  std::string previous_digest;
  std::string manifest_digest;
  /** Records of the versions that the delta passes over, oldest first, so that
      a daemon that skips them still knows the history. */
  std::vector<ConfigVersionRecord> between;
  /** Parts that are new or have another text, ordered by name. */
  std::vector<ConfigPart> changed;
  /** Parts that are gone, ordered by name. */
  std::vector<PartName> removed;

  friend bool operator==(const ConfigDelta& a, const ConfigDelta& b) {
    return a.from_version == b.from_version && a.from_digest == b.from_digest &&
           a.change == b.change && a.previous_digest == b.previous_digest &&
           a.manifest_digest == b.manifest_digest && a.between == b.between &&
           a.changed == b.changed && a.removed == b.removed;
  }
};

/** @returns the delta between two versions of one store's history
    @param from  the lower version
    @param to    the higher version */
ConfigDelta MakeDelta(const ConfigBundle& from, const ConfigBundle& to);

/** Applies a delta.
    @returns the whole new bundle, with every digest checked;
   ErrorCode::kConflict when the delta is for another bundle, kInvalid when the
   result does not match its digests. The receiver then asks for the whole
   bundle. */
Result<ConfigBundle> ApplyDelta(const ConfigBundle& bundle,
                                const ConfigDelta& delta);

/** Joins two deltas into one.
    @param first   from version k to m
    @param second  from version m to n
    @returns the delta from k to n; ErrorCode::kConflict when they do not meet
 */
Result<ConfigDelta> MergeDeltas(const ConfigDelta& first,
                                const ConfigDelta& second);

/** @returns the delta as a JSON object */
Json::Value ToJson(const ConfigDelta& delta);

/** Reads a delta; errors are kept by the reader. */
ConfigDelta ReadConfigDelta(JsonObject& fields);

}  // namespace cumin

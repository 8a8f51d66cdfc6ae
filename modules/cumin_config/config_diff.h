#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_core/error.h"

namespace cumin {

/** A field whose value differs between two versions. */
struct FieldChange {
  PartName part;
  /** Path of the field. List items are identified by the service or operation
      that they configure, e.g. "grants.orderdesk/accept.retries". */
  std::string field;
  /** Absent when only the later version has the field. */
  std::optional<std::string> before;
  /** Absent when only the earlier version has the field. */
  std::optional<std::string> after;

  friend bool operator==(const FieldChange& a, const FieldChange& b) {
    return a.part == b.part && a.field == b.field && a.before == b.before &&
           a.after == b.after;
  }
};

/** Compares the parsed values of two versions, with defaults filled in, so
    textual differences without effect are not reported.
    @returns the changes, ordered by part and field, or ErrorCode::kInvalid if a
    part does not parse */
Result<std::vector<FieldChange>> DiffBundles(const ConfigBundle& from,
                                             const ConfigBundle& to);

/** @returns one sentence per line for the operator; a single sentence if there
    are no changes */
std::string Describe(const std::vector<FieldChange>& changes);

/** @returns the changes as a JSON list */
Json::Value ToJson(const std::vector<FieldChange>& changes);

}  // namespace cumin

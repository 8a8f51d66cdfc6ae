#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_core/error.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

/** Replaces the text of one part, or removes the part. */
struct PartEdit {
  PartName name;
  /** Absent to remove the part. */
  std::optional<std::string> text;

  friend bool operator==(const PartEdit& a, const PartEdit& b) {
    return a.name == b.name && a.text == b.text;
  }
};

/** A configuration change requested by an operator. */
struct ChangeRequest {
  /** Identical for every attempt to make the same change. */
  ChangeId change_id;
  /** The newest version known to the operator; 0 for an empty store. */
  std::uint64_t based_on = 0;
  std::string author;
  std::string note;
  WallTime accepted_at;
  /** If set, the edits apply to the parts of this earlier version instead of
      the newest. */
  std::optional<std::uint64_t> rollback_to;
  std::vector<PartEdit> edits;
};

/** @returns a new change id: "c-" followed by 16 hexadecimal digits */
ChangeId MakeChangeId(Random& random);

/** Validates a request without access to the store.
    @returns success, or ErrorCode::kInvalid with the field that is missing, too
    long or inconsistent */
Result<void> CheckRequest(const ChangeRequest& request);

}  // namespace cumin

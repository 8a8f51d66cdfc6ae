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

/** A new text for one part, or its removal. */
struct PartEdit {
  PartName name;
  /** Absent to remove the part. */
  std::optional<std::string> text;

  friend bool operator==(const PartEdit& a, const PartEdit& b) {
    return a.name == b.name && a.text == b.text;
  }
};

/** What an operator asks to change. */
struct ChangeRequest {
  /** The same for each attempt to make the same change. */
  ChangeId change_id;
  /** The version that the operator has seen; 0 for an empty store. */
  std::uint64_t based_on = 0;
  std::string author;
  std::string note;
  WallTime accepted_at;
  /** Starts from the parts of this earlier version in place of the newest. */
  std::optional<std::uint64_t> rollback_to;
  std::vector<PartEdit> edits;
};

/** @returns a new change id, "c-" and 16 hexadecimal digits */
ChangeId MakeChangeId(Random& random);

/** @returns success, or ErrorCode::kInvalid for an author, note or list of
    edits that is missing or too long */
Result<void> CheckRequest(const ChangeRequest& request);

}  // namespace cumin

#pragma once

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"

namespace cumin::load {

/** Type of an event in a target's run log. */
enum class RunEvent { kStart, kFinish, kCut };

/** One line of a target's run log. */
struct RunRecord {
  RunEvent event = RunEvent::kStart;
  std::string target;
  IdempotencyKey key;
  std::string request_id;
};

/** Parses a run log.
    @param text    one JSON object per line
    @param source  file name for error messages
    @returns the records, or kInvalid with the line number */
Result<std::vector<RunRecord>> ParseRunLog(const std::string& text,
                                           const std::string& source);

}  // namespace cumin::load

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cumin_core/time.h"

namespace cumin::load {

/** What one attempt told the caller. */
enum class AttemptEnd {
  /** A whole answer with the verdict "ran". */
  kRan,
  /** An answer with the verdict "not-run", or no connection to the entry. */
  kNotRun,
  /** An answer with the verdict "may-have-run". */
  kMayHaveRun,
  /** An answer without a verdict. */
  kNoVerdict,
  /** The connection broke or the answer was cut short. */
  kCut,
  /** Silence until after the deadline. */
  kNoAnswer,
};

constexpr std::size_t kAttemptEnds = 6;

/** @returns the end's name in lower case with dashes */
const char* ToString(AttemptEnd end);

/** One attempt of a call. */
struct AttemptOutcome {
  /** Sent as Cumin-Request-Id, and unique. */
  std::string request_id;
  AttemptEnd end = AttemptEnd::kNoAnswer;
  /** HTTP status; 0 without an answer. */
  int status = 0;
  /** The Cumin-Reason header; may be empty. */
  std::string reason;
  /** The answer was that of another call. */
  bool mismatched = false;
};

/** What became of one planned call. */
struct CallOutcome {
  /** Position in the plan. */
  std::size_t planned = 0;
  std::vector<AttemptOutcome> attempts;
  /** From the planned time to the first attempt, when no worker was free. */
  Duration lateness{0};
  /** From the planned time to the end of the last attempt. */
  Duration latency{0};

  /** @returns what the caller knows at the end: kRan if any attempt ran, else
      the least certain end, since only attempts that all did not run make a
      call that did not run */
  AttemptEnd End() const;
};

}  // namespace cumin::load

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cumin_core/time.h"

namespace cumin::load {

/** How one attempt ended from the caller's point of view, ordered from the most
    to the least certain. */
enum class AttemptEnd {
  /** A complete response with the verdict "ran". */
  kRan,
  /** A response with the verdict "not-run", or no connection to the entry. */
  kNotRun,
  /** A response with the verdict "may-have-run". */
  kMayHaveRun,
  /** A response without a verdict. */
  kNoVerdict,
  /** The connection broke or the response was truncated. */
  kCut,
  /** No response until after the deadline. */
  kNoAnswer,
};

constexpr std::size_t kAttemptEndCount = 6;

/** @returns the name in lower case with dashes, as in reports */
const char* ToString(AttemptEnd end);

/** Result of one attempt of a call. */
struct AttemptOutcome {
  /** Value of the Cumin-Request-Id header, unique for each attempt. */
  std::string request_id;
  AttemptEnd end = AttemptEnd::kNoAnswer;
  /** HTTP status; 0 without a response. */
  int status = 0;
  /** Value of the Cumin-Reason header, or the transport error; may be empty. */
  std::string reason;
  /** The response belongs to another call. */
  bool mismatched = false;
};

/** Result of one planned call. */
struct CallOutcome {
  /** Index of the call in the plan. */
  std::size_t planned = 0;
  std::vector<AttemptOutcome> attempts;
  /** Delay of the first attempt after its planned time, for lack of a free
      worker. */
  Duration lateness{0};
  /** From the planned time to the end of the last attempt. */
  Duration latency{0};

  /** @returns kRan if any attempt ran, else the least certain end of all
      attempts, since a call has certainly not run only if none of its attempts
      has */
  AttemptEnd End() const;
};

}  // namespace cumin::load

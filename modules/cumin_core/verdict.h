#pragma once

#include <ostream>
#include <string>

#include "cumin_core/time.h"

namespace cumin {

/** Says whether a call may have been executed by a target. */
enum class Verdict {
  /** The call was not passed to a target; a retry cannot execute it twice. */
  kNotRun,
  /** The call was passed to a target and its outcome is unknown. */
  kMayHaveRun,
  /** The call was executed and its complete response is available. */
  kRan,
};

/** @returns "not-run", "may-have-run" or "ran", as in the Cumin-Verdict header
 */
const char* ToString(Verdict verdict);

/** Parses the text of a Cumin-Verdict header.
    @param text      the header's value
    @param[out] out  unchanged when the text is unknown
    @returns false when the text is unknown */
bool ParseVerdict(const std::string& text, Verdict* out);

std::ostream& operator<<(std::ostream& out, Verdict verdict);

/** Why a call got no response from a target. */
enum class RefusalReason {
  kNone,
  kNoConfiguration,
  kUnknownCustomer,
  kUnknownRoute,
  kNotGranted,
  kBadRequest,
  kBodyTooLarge,
  kRateLimited,
  kConcurrencyLimited,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineExpired,
  kShed,
  kNoTarget,
  kTargetLeaving,
  kTargetStarting,
  kQuarantined,
  kSuspectRunning,
  kLeaseUnavailable,
  kNotShardOwner,
  kKeyRequired,
  kKeyExpired,
  kKeyInProgress,
  kKeyUncertain,
  kShuttingDown,
  kPeerUnreachable,
  kConnectionLost,
  kAnswerIncomplete,
  kTargetFailed,
};

/** @returns the name in lower case with dashes, e.g. "queue-full" */
const char* ToString(RefusalReason reason);

/** Parses a reason's name.
    @returns kNone when the name is unknown */
RefusalReason ParseRefusalReason(const std::string& text);

std::ostream& operator<<(std::ostream& out, RefusalReason reason);

/** The outcome of a call for which no target's response is delivered. */
struct Refusal {
  /** Whether the call may have been executed nevertheless. */
  Verdict verdict = Verdict::kNotRun;
  RefusalReason reason = RefusalReason::kNone;
  /** One sentence for the caller's operator. */
  std::string detail;
  /** Delay after which a retry may succeed; zero when a retry is useless. */
  Duration retry_after{0};

  friend bool operator==(const Refusal& a, const Refusal& b) {
    return a.verdict == b.verdict && a.reason == b.reason &&
           a.detail == b.detail && a.retry_after == b.retry_after;
  }
};

/** @returns a refusal of a call that was not passed to any target */
Refusal NotRun(RefusalReason reason, std::string detail,
               Duration retry_after = Duration(0));

}  // namespace cumin

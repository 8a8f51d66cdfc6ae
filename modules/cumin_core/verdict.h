#pragma once

#include <ostream>
#include <string>

#include "cumin_core/time.h"

namespace cumin {

/** Says whether a call may have been executed by a target. */
enum class Verdict {
  /** The call was never handed to a target; resending it cannot run it twice.
   */
  kNotRun,
  /** The call was handed to a target and its outcome is unknown. */
  kMayHaveRun,
  /** The call was executed and its whole answer is present. */
  kRan,
};

/** @returns "not-run", "may-have-run" or "ran", as in the Cumin-Verdict header
 */
const char* ToString(Verdict verdict);

/** Parses the text of a Cumin-Verdict header.
    @param text      the header's value
    @param[out] out  set only when the text is known
    @returns false when the text is none of the three */
bool ParseVerdict(const std::string& text, Verdict* out);

std::ostream& operator<<(std::ostream& out, Verdict verdict);

/** Why a call got no answer from a target. */
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

/** @returns the reason's name in lower case with dashes, e.g. "queue-full" */
const char* ToString(RefusalReason reason);

/** Parses a reason's name.
    @returns kNone when the name is unknown */
RefusalReason ParseRefusalReason(const std::string& text);

std::ostream& operator<<(std::ostream& out, RefusalReason reason);

/** How a call ended when no target's answer is delivered. */
struct Refusal {
  /** Whether the call may have run all the same. */
  Verdict verdict = Verdict::kNotRun;
  RefusalReason reason = RefusalReason::kNone;
  /** One sentence for the caller's operator. */
  std::string detail;
  /** When a resend has a fair chance; zero when it has none. */
  Duration retry_after{0};

  friend bool operator==(const Refusal& a, const Refusal& b) {
    return a.verdict == b.verdict && a.reason == b.reason &&
           a.detail == b.detail && a.retry_after == b.retry_after;
  }
};

/** @returns a refusal of a call that no target got */
Refusal NotRun(RefusalReason reason, std::string detail,
               Duration retry_after = Duration(0));

}  // namespace cumin

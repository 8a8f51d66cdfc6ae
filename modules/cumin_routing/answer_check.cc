#include "cumin_routing/answer_check.h"

namespace cumin {

namespace {

Refusal MayHaveRun(RefusalReason reason, const char* detail) {
  return Refusal{Verdict::kMayHaveRun, reason, detail, Duration::zero()};
}

}  // namespace

std::optional<Refusal> CheckAnswer(const Exchange& exchange) {
  if (!exchange.was_sent) {
    return Refusal{Verdict::kNotRun, RefusalReason::kPeerUnreachable,
                   "no connection to the target's daemon", Duration::zero()};
  }
  if (!exchange.has_headers) {
    return MayHaveRun(RefusalReason::kConnectionLost,
                      "the connection ended before an answer came");
  }
  if (exchange.answered_id != exchange.request_id) {
    return MayHaveRun(RefusalReason::kAnswerIncomplete,
                      "an answer to another request came");
  }
  const bool is_whole = exchange.declared_bytes ? *exchange.declared_bytes ==
                                                      exchange.received_bytes
                                                : exchange.has_end_mark;
  if (!is_whole) {
    return MayHaveRun(RefusalReason::kAnswerIncomplete,
                      "the answer was cut short");
  }
  return std::nullopt;
}

}  // namespace cumin

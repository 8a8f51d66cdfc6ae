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
                   "could not connect to the target's daemon",
                   Duration::zero()};
  }
  if (!exchange.has_headers) {
    return MayHaveRun(RefusalReason::kConnectionLost,
                      "connection closed before the response headers arrived");
  }
  if (exchange.response_request_id != exchange.request_id) {
    return MayHaveRun(RefusalReason::kAnswerIncomplete,
                      "received the response to a different request");
  }
  const bool is_complete = exchange.declared_bytes ? *exchange.declared_bytes ==
                                                         exchange.received_bytes
                                                   : exchange.has_terminator;
  if (!is_complete) {
    return MayHaveRun(RefusalReason::kAnswerIncomplete,
                      "the response body was truncated");
  }
  return std::nullopt;
}

}  // namespace cumin

#include "cumin_daemon/mesh_call.h"

#include <utility>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

/** An upload that fits in the memory is passed on in less time. */
constexpr Duration kBodyRetryAfter = std::chrono::milliseconds(500);

}  // namespace

RequestFingerprint FingerprintOf(const MeshCall& call) {
  const HttpRequest& request = call.request;
  std::string text;
  for (const std::string& it :
       {call.caller.str(), request.method, request.headers.Get("Host"),
        request.path, request.query}) {
    text += it;
    text += '\0';
  }
  // A body may be long; its hash takes its place in the text.
  text += std::to_string(StableHash(request.body));
  return RequestFingerprint{StableHash(text)};
}

Refusal RefusalForBody() {
  return NotRun(RefusalReason::kShed,
                "too many large request bodies are in progress",
                kBodyRetryAfter);
}

CallOutcome FailedOutcome(Refusal refusal) {
  CallOutcome outcome;
  outcome.verdict = refusal.verdict;
  outcome.refusal = std::move(refusal);
  return outcome;
}

CallOutcome FailedOutcome(Verdict verdict, RefusalReason reason,
                          std::string detail, Duration retry_after) {
  return FailedOutcome(
      Refusal{verdict, reason, std::move(detail), retry_after});
}

}  // namespace cumin

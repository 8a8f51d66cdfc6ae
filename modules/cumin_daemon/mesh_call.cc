#include "cumin_daemon/mesh_call.h"

#include <utility>

#include "cumin_core/stable_hash.h"

namespace cumin {

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

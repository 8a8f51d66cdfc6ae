#include "cuminload/call_sender.h"

#include <algorithm>

#include "cumin_core/json_text.h"
#include "cumin_core/verdict.h"

namespace cumin::load {

namespace {

constexpr std::size_t kMaxIdleConnections = 256;
constexpr Duration kAnswerMargin = std::chrono::seconds(1);
constexpr int kFirstErrorStatus = 400;

HttpRequest MakeRequest(const ScenarioCall& call, const PlannedCall& planned,
                        WallTime first_sent, const std::string& request_id) {
  HttpRequest request;
  request.method = call.method;
  request.path = call.path;
  if (call.answer_bytes > 0) {
    request.query = "bytes=" + std::to_string(call.answer_bytes);
  }
  request.headers.Set("Cumin-Customer", call.customer.str());
  request.headers.Set("Cumin-Deadline-Ms",
                      std::to_string(ToMillis(call.deadline)));
  request.headers.Set("Cumin-Request-Id", request_id);
  if (!planned.key.empty()) {
    request.headers.Set("Idempotency-Key", planned.key.str());
    request.headers.Set("Cumin-First-Sent",
                        std::to_string(ToUnixMillis(first_sent)));
  }
  request.body = std::string(call.body_bytes, 'x');
  return request;
}

AttemptEnd ClassifyResponse(const HttpResponse& response) {
  Verdict verdict = Verdict::kMayHaveRun;
  if (!ParseVerdict(response.headers.Get("Cumin-Verdict"), &verdict)) {
    return AttemptEnd::kNoVerdict;
  }
  switch (verdict) {
    case Verdict::kNotRun:
      return AttemptEnd::kNotRun;
    case Verdict::kMayHaveRun:
      return AttemptEnd::kMayHaveRun;
    case Verdict::kRan:
      return AttemptEnd::kRan;
  }
  return AttemptEnd::kNoVerdict;
}

/** Checks the path, key and request id that the target echoes in its response
    body. */
bool IsAnswerOf(const HttpResponse& response, const ScenarioCall& call,
                const PlannedCall& planned, const std::string& request_id,
                const std::vector<AttemptOutcome>& earlier) {
  const Result<Json::Value> body = ParseJson(response.body, "answer");
  if (!body || !body.value().isObject() ||
      response.body.size() < call.answer_bytes) {
    return false;
  }
  const std::string answered = body.value()["request_id"].asString();
  const bool known =
      answered == request_id || std::any_of(earlier.begin(), earlier.end(),
                                            [&](const AttemptOutcome& it) {
                                              return it.request_id == answered;
                                            });
  return known && body.value()["path"] == call.path &&
         body.value()["key"] == planned.key.str();
}

}  // namespace

CallSender::CallSender(const Clock& clock)
    : clock_(clock), pool_(kMaxIdleConnections) {}

AttemptOutcome CallSender::Send(const Endpoint& entry, const ScenarioCall& call,
                                const PlannedCall& planned, WallTime first_sent,
                                const std::vector<AttemptOutcome>& earlier,
                                const std::string& request_id) {
  const Duration timeout = call.deadline + kAnswerMargin;
  const MonoTime begin = clock_.Now();
  const Result<HttpResponse> response = pool_.Exchange(
      entry, MakeRequest(call, planned, first_sent, request_id), timeout,
      planned.key.empty() ? ConnectionUse::kMayReuse
                          : ConnectionUse::kFreshOnly);
  AttemptOutcome outcome;
  outcome.request_id = request_id;
  if (!response) {
    const bool silent = clock_.Now() - begin >= timeout;
    outcome.end = silent ? AttemptEnd::kNoAnswer
                  : response.error().code == ErrorCode::kUnavailable
                      ? AttemptEnd::kNotRun
                      : AttemptEnd::kCut;
    outcome.reason = silent ? "silent" : response.error().reason;
    return outcome;
  }
  outcome.status = response.value().status;
  outcome.reason = response.value().headers.Get("Cumin-Reason");
  outcome.end = ClassifyResponse(response.value());
  outcome.mismatched =
      outcome.end == AttemptEnd::kRan && outcome.status < kFirstErrorStatus &&
      !IsAnswerOf(response.value(), call, planned, request_id, earlier);
  return outcome;
}

}  // namespace cumin::load

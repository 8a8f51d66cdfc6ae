#include "cumin_proxy/target_client.h"

#include <cxxtools/net/tcpsocket.h>

#include <thread>

#include "cumin_core/tracing.h"
#include "cumin_proxy/call_headers.h"
#include "cumin_routing/call_deadline.h"
#include "cumin_rpc/http_client.h"

namespace cumin {

namespace {

constexpr int kEndChecks = 6;
constexpr Duration kEndCheckPause = std::chrono::milliseconds(10);

/** The target states itself that it shed the call before running it. */
bool SaysNotRun(const HttpResponse& response) {
  return response.headers.Get(kVerdictHeader) == ToString(Verdict::kNotRun);
}

bool IsListening(const Endpoint& target) {
  try {
    const cxxtools::net::TcpSocket socket(target.address, target.port);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

/** @returns true when nothing listens at the address any more, or soon after: a
    process that ends closes its connections and its listener one by one */
bool HasEnded(const Endpoint& target) {
  for (int i = 0; i < kEndChecks; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(kEndCheckPause);
    }
    if (!IsListening(target)) {
      return true;
    }
  }
  return false;
}

CallResult FromError(const Error& error, const Call& call,
                     const AnnouncedTarget& target, MonoTime now) {
  if (error.code == ErrorCode::kUnavailable) {
    return CallResult::Refused(Refusal{
        Verdict::kNotRun, RefusalReason::kNoTarget, error.reason, Duration(0)});
  }
  RefusalReason reason = RefusalReason::kConnectionLost;
  if (now >= call.deadline) {
    reason = RefusalReason::kDeadlineExpired;
  } else if (HasEnded(target.endpoint)) {
    reason = RefusalReason::kTargetFailed;
  }
  return CallResult::Refused(
      Refusal{Verdict::kMayHaveRun, reason, error.reason, Duration(0)});
}

}  // namespace

TargetClient::TargetClient(Blackboard& board)
    : board_(board),
      runs_(board.metrics.GetCounter("target_runs_total")),
      lost_(board.metrics.GetCounter("target_outcomes_unknown_total")) {}

CallResult TargetClient::Execute(const Call& call,
                                 const AnnouncedTarget& target) {
  const auto span = StartSpan(*board_.tracer, "target", call.trace_parent);
  CallResult result = Exchange(call, target, TraceParent(*span));
  span->SetTag("verdict", ToString(result.verdict));
  if (result.verdict == Verdict::kRan) {
    runs_.Add();
  } else if (result.verdict == Verdict::kMayHaveRun) {
    lost_.Add();
  }
  span->Finish();
  return result;
}

CallResult TargetClient::Exchange(const Call& call,
                                  const AnnouncedTarget& target,
                                  const std::string& trace_parent) {
  const MonoTime now = board_.clock.Now();
  if (now >= call.deadline) {
    return CallResult::Refused(
        Refusal{Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                "the deadline passed before the start", Duration(0)});
  }
  if (call.guard != nullptr) {
    const std::optional<Refusal> refusal = call.guard->CheckDispatch();
    if (refusal) {
      return CallResult::Refused(*refusal);
    }
  }
  const Duration left = call.deadline - now;
  HttpRequest request = call.request;
  request.headers.Set(kTraceHeader, trace_parent);
  request.headers.Set(
      kDeadlineHeader,
      std::to_string(CallDeadline(call.deadline).NextHopMillis(now)));
  // On a kept connection, what a faulty target wrote beyond its last answer
  // would be taken for the answer to this call.
  HttpClient client(target.endpoint);
  const Result<HttpResponse> response =
      client.Exchange(request, left, ConnectionUse::kFreshOnly);
  if (!response) {
    return FromError(response.error(), call, target, board_.clock.Now());
  }
  if (SaysNotRun(response.value())) {
    return CallResult::Refused(Refusal{Verdict::kNotRun, RefusalReason::kShed,
                                       "the target shed the call",
                                       Duration(0)});
  }
  CallResult result;
  result.verdict = Verdict::kRan;
  result.response = response.value();
  return result;
}

}  // namespace cumin

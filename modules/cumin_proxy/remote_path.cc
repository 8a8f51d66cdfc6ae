#include "cumin_proxy/remote_path.h"

#include "cumin_proxy/call_codec.h"
#include "cumin_proxy/call_headers.h"
#include "cumin_routing/answer_check.h"

namespace cumin {

RemotePath::RemotePath(Blackboard& board)
    : board_(board), pool_(board.clock, board.metrics, kLivePath) {}

CallResult RemotePath::Execute(const Member& owner, const Call& call) {
  const MonoTime now = board_.clock.Now();
  if (now >= call.deadline) {
    return CallResult::Refused(
        Refusal{Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                "the deadline passed before the start", Duration(0)});
  }
  const Result<HttpResponse> response =
      pool_.Exchange(owner.endpoint, EncodeCall(call, now), call.deadline - now,
                     call.repeatability);
  if (response) {
    return DecodeResult(response.value(), call.attempt);
  }
  Exchange exchange;
  exchange.was_sent = response.error().code != ErrorCode::kUnavailable;
  Refusal refusal = *CheckAnswer(exchange);
  if (exchange.was_sent && board_.clock.Now() >= call.deadline) {
    refusal.reason = RefusalReason::kDeadlineExpired;
  }
  refusal.detail = owner.vm.str() + ": " + response.error().reason;
  return CallResult::Refused(std::move(refusal));
}

}  // namespace cumin

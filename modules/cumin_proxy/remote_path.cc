#include "cumin_proxy/remote_path.h"

#include "cumin_proxy/call_codec.h"

namespace cumin {

namespace {

constexpr std::size_t kIdleConnections = 16;

}  // namespace

RemotePath::RemotePath(Blackboard& board)
    : board_(board), pool_(kIdleConnections) {}

CallResult RemotePath::Execute(const Member& owner, const Call& call) {
  const MonoTime now = board_.clock.Now();
  if (now >= call.deadline) {
    return CallResult::Refused(
        Refusal{Verdict::kNotRun, RefusalReason::kDeadlineExpired,
                "the deadline passed before the start", Duration(0)});
  }
  const ConnectionUse use = call.repeatability == Repeatability::kIdempotent
                                ? ConnectionUse::kMayReuse
                                : ConnectionUse::kFreshOnly;
  const Result<HttpResponse> response = pool_.Exchange(
      owner.endpoint, EncodeCall(call, now), call.deadline - now, use);
  if (!response) {
    const bool never_sent = response.error().code == ErrorCode::kUnavailable;
    return CallResult::Refused(
        Refusal{never_sent ? Verdict::kNotRun : Verdict::kMayHaveRun,
                never_sent ? RefusalReason::kPeerUnreachable
                           : RefusalReason::kConnectionLost,
                owner.vm.str() + ": " + response.error().reason, Duration(0)});
  }
  CallResult result = DecodeResult(response.value(), call.attempt);
  if (result.load) {
    board_.loads.Note(owner.vm, *result.load, board_.clock.Now());
  }
  return result;
}

}  // namespace cumin

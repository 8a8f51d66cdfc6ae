#include "cumin_proxy/front.h"

#include "cumin_proxy/call_codec.h"
#include "cumin_proxy/call_headers.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_rpc/json_rpc_caller.h"

namespace cumin {

namespace {

/** Date, Server, Connection and Content-Length, which the library adds. */
constexpr std::size_t kAddedResponseBytes = 125;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

HttpResponse Text(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "text/plain");
  response.body = body + "\n";
  return response;
}

/** Counts one more call for as long as it lives. */
class ActiveCall {
 public:
  explicit ActiveCall(std::atomic<int>& count)
      : count_(count), before_(count.fetch_add(1)) {}
  ~ActiveCall() { count_.fetch_sub(1); }

  ActiveCall(const ActiveCall&) = delete;
  ActiveCall& operator=(const ActiveCall&) = delete;

  /** @returns how many calls there were before this one */
  int before() const { return before_; }

 private:
  std::atomic<int>& count_;
  int before_;
};

}  // namespace

Front::Front(Blackboard& board, IngressPath& ingress, OwnerPath& owner,
             OrderPath& orders, JsonRpcDispatcher& dispatcher)
    : board_(board),
      ingress_(ingress),
      owner_(owner),
      orders_(orders),
      dispatcher_(dispatcher),
      control_bytes_in_(board.metrics.GetCounter("control_received_bytes")),
      control_bytes_out_(board.metrics.GetCounter("control_sent_bytes")) {}

HttpResponse Front::Handle(const HttpRequest& request) {
  if (request.path.rfind(kReservedPrefix, 0) == 0 &&
      request.path != kCallPath) {
    return HandleReserved(request);
  }
  const ActiveCall active(active_calls_);
  const bool peer_call = request.path == kCallPath;
  if (active.before() >= board_.settings.workers) {
    const CallResult busy =
        CallResult::NotRun(RefusalReason::kQueueFull, "every worker is busy");
    return peer_call ? EncodeResult(
                           busy, AttemptId(request.headers.Get(kAttemptHeader)))
                     : ToCallerResponse(busy);
  }
  return peer_call ? HandlePeerCall(request) : ingress_.Handle(request);
}

HttpResponse Front::HandleReserved(const HttpRequest& request) {
  if (request.path == kRpcPath) {
    return HandleRpc(request);
  }
  if (request.path == kAnnouncePath) {
    return HandleAnnouncement(request);
  }
  if (request.path == kReadyPath) {
    return HandleReady();
  }
  if (request.path == kLivePath) {
    return Text(200, "alive");
  }
  if (request.path == kMetricsPath) {
    return Text(200, board_.metrics.Text());
  }
  return Text(kStatusNotFound, "no such path");
}

HttpResponse Front::HandleAnnouncement(const HttpRequest& request) {
  const Result<AnnouncedTarget> target = ParseAnnouncement(request.body);
  if (!target) {
    return Text(kStatusBadRequest, Describe(target.error()));
  }
  board_.target.Announce(target.value(), board_.clock.Now());
  owner_.OnAnnouncement();
  return Text(200, "announced");
}

HttpResponse Front::HandlePeerCall(const HttpRequest& request) {
  const AttemptId attempt(request.headers.Get(kAttemptHeader));
  const RefPtr<const ConfigSnapshot> snapshot = board_.config.Current();
  if (!snapshot) {
    return EncodeResult(
        CallResult::NotRun(RefusalReason::kNoConfiguration,
                           "the target's daemon has no configuration"),
        attempt);
  }
  const Result<Call> call = DecodeCall(request, *snapshot, board_.clock.Now());
  if (!call) {
    return EncodeResult(
        CallResult::NotRun(RefusalReason::kBadRequest, Describe(call.error())),
        attempt);
  }
  const bool needs_ledger =
      call.value().repeatability == Repeatability::kAtMostOnce &&
      !call.value().is_admitted;
  return EncodeResult(needs_ledger ? orders_.ExecuteAsOwner(call.value())
                                   : owner_.Execute(call.value()),
                      attempt);
}

HttpResponse Front::HandleRpc(const HttpRequest& request) {
  control_bytes_in_.Add(WireBytes(request));
  HttpResponse response;
  response.headers.Set("Content-Type", "application/json");
  response.body = dispatcher_.Dispatch(request.body);
  control_bytes_out_.Add(WireBytes(response) + kAddedResponseBytes);
  return response;
}

HttpResponse Front::HandleReady() const {
  if (board_.leaving) {
    return Text(kStatusUnavailable, "leaving");
  }
  if (!board_.ready) {
    return Text(kStatusUnavailable, "no configuration in force");
  }
  return Text(200, "ready");
}

}  // namespace cumin

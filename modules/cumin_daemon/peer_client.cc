#include "cumin_daemon/peer_client.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "cumin_daemon/hop_codec.h"
#include "cumin_http/abort_on_disconnect.h"

namespace cumin {

namespace {

/** The daemon beside the target answers by the deadline; this is the time that
    its answer may take on the way. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);
/** Several round trips inside a region, and between two. A lost first packet is
    sent again only after a second, so that another target is the better way. */
constexpr Duration kConnectInRegion = std::chrono::milliseconds(100);
constexpr Duration kConnectElsewhere = std::chrono::milliseconds(250);
constexpr Duration kForbidTimeout = std::chrono::milliseconds(300);
constexpr Duration kMaxIdle = std::chrono::seconds(10);

}  // namespace

Task<CallOutcome> PeerClient::Run(const Member& target, const MeshCall& call,
                                  CallerWatch& caller, CallStory& story) {
  const Endpoint peer = target.endpoint;
  const MonoTime sent_at = board_.clock.Now();
  const HttpRequest request = EncodeHop(call, sent_at);
  ExchangeOptions options;
  options.timeout =
      std::chrono::duration_cast<Duration>(call.deadline - sent_at) +
      kAnswerMargin;
  options.max_idle = kMaxIdle;
  options.connect_timeout = target.region == board_.settings.region
                                ? kConnectInRegion
                                : kConnectElsewhere;
  ExchangeResult result;
  {
    AbortOnDisconnect guard(caller, true);
    result = co_await board_.connections.Exchange(peer, request, options,
                                                  &guard.abort());
  }
  if (result.end == ExchangeEnd::kAnswered) {
    Result<CallOutcome> outcome = DecodeOutcome(std::move(result.response));
    if (outcome) {
      co_return std::move(outcome.value());
    }
    result.end = ExchangeEnd::kGarbled;
    result.reason = Describe(outcome.error());
  }
  story.Add(EventLine("peer-failed")
                .With("peer", ToString(peer))
                .With("end", ToString(result.end))
                .With("reason", result.reason),
            board_.clock.Now());
  if (result.end == ExchangeEnd::kNotSent) {
    co_return FailedOutcome(Verdict::kNotRun, RefusalReason::kPeerUnreachable,
                            result.reason);
  }
  const bool is_late = result.end == ExchangeEnd::kTimedOut;
  if (call.kind == RouteKind::kAtMostOnce) {
    const AttemptState state = co_await ForbidAt(peer, call, sent_at);
    story.Add(EventLine("peer-forbid").With("state", ToString(state)),
              board_.clock.Now());
    if (state == AttemptState::kForbidden) {
      co_return FailedOutcome(Verdict::kNotRun, RefusalReason::kConnectionLost,
                              "the attempt was forbidden before it ran");
    }
  }
  CallOutcome outcome = FailedOutcome(Verdict::kMayHaveRun,
                                      is_late ? RefusalReason::kDeadlineExpired
                                              : RefusalReason::kConnectionLost,
                                      result.reason);
  outcome.reached_target = true;
  co_return outcome;
}

Task<Result<HttpResponse>> PeerClient::Send(Endpoint peer, HttpRequest request,
                                            Duration timeout) {
  ExchangeOptions options;
  options.timeout = timeout;
  options.max_idle = kMaxIdle;
  ExchangeResult result =
      co_await board_.connections.Exchange(peer, request, options);
  if (result.end != ExchangeEnd::kAnswered) {
    co_return Error{ErrorCode::kUnavailable, ToString(peer), 0, "",
                    result.reason};
  }
  if (result.response.status != 200) {
    co_return Error{ErrorCode::kUnavailable, ToString(peer), 0, "",
                    "status " + std::to_string(result.response.status)};
  }
  co_return std::move(result.response);
}

Task<AttemptState> PeerClient::ForbidAt(Endpoint peer, const MeshCall& call,
                                        MonoTime sent_at) {
  HttpRequest request;
  request.method = "POST";
  request.path = kForbidPath;
  request.body = call.attempt;
  ExchangeOptions options;
  options.timeout = kForbidTimeout;
  options.max_idle = Duration::zero();
  const ExchangeResult result =
      co_await board_.connections.Exchange(peer, request, options);
  if (result.end != ExchangeEnd::kAnswered || result.response.status != 200) {
    co_return AttemptState::kUnknown;
  }
  std::istringstream text(result.response.body);
  int state = 0;
  Duration::rep up_for_us = 0;
  text >> state >> up_for_us;
  const Duration since_sent = board_.clock.Now() - sent_at;
  // A daemon that started after the call was sent knows nothing of it.
  if (!text || Duration(up_for_us) <= since_sent) {
    co_return AttemptState::kUnknown;
  }
  co_return static_cast<AttemptState>(state);
}

}  // namespace cumin

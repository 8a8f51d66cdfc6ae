#include "cumin_daemon/peer_client.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "cumin_daemon/hop_codec.h"
#include "cumin_http/abort_on_disconnect.h"

namespace cumin {

namespace {

/** The target's daemon answers by the deadline; this is added for the
    transmission of its response. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);
/** Connect time-outs: several round trips within a region, and between regions.
    A lost SYN is retransmitted only after a second, so that trying another
    target is faster than waiting. */
constexpr Duration kConnectTimeoutInRegion = std::chrono::milliseconds(100);
constexpr Duration kConnectTimeoutAcrossRegions =
    std::chrono::milliseconds(250);
constexpr Duration kForbidTimeout = std::chrono::milliseconds(300);
constexpr Duration kMaxConnectionIdle = std::chrono::seconds(10);

}  // namespace

Task<CallOutcome> PeerClient::Run(const Member& target, const MeshCall& call,
                                  CallerWatch& caller,
                                  CallLogBuffer& call_log) {
  const Endpoint peer = target.endpoint;
  const MonoTime sent_at = context_.clock.Now();
  const HttpRequest request = EncodeHop(call, sent_at);
  ExchangeOptions options;
  options.timeout =
      std::chrono::duration_cast<Duration>(call.deadline - sent_at) +
      kAnswerMargin;
  options.max_idle = kMaxConnectionIdle;
  options.connect_timeout = target.region == context_.settings.region
                                ? kConnectTimeoutInRegion
                                : kConnectTimeoutAcrossRegions;
  options.body = &call.request.body;
  ExchangeResult result;
  {
    AbortOnDisconnect guard(caller, true);
    result = co_await context_.connections.Exchange(peer, request, options,
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
  call_log.Add(EventLine("peer-failed")
                   .With("peer", ToString(peer))
                   .With("end", ToString(result.end))
                   .With("reason", result.reason),
               context_.clock.Now());
  if (result.end == ExchangeEnd::kNotSent) {
    co_return FailedOutcome(Verdict::kNotRun, RefusalReason::kPeerUnreachable,
                            result.reason);
  }
  const bool is_late = result.end == ExchangeEnd::kTimedOut;
  if (RunsAtMostOnce(call.kind)) {
    const AttemptState state = co_await ForbidAt(peer, call, sent_at);
    call_log.Add(EventLine("peer-forbid").With("state", ToString(state)),
                 context_.clock.Now());
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
  options.max_idle = kMaxConnectionIdle;
  ExchangeResult result =
      co_await context_.connections.Exchange(peer, request, options);
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
      co_await context_.connections.Exchange(peer, request, options);
  if (result.end != ExchangeEnd::kAnswered || result.response.status != 200) {
    co_return AttemptState::kUnknown;
  }
  std::istringstream text(result.response.body);
  int state = 0;
  Duration::rep uptime_us = 0;
  text >> state >> uptime_us;
  const Duration since_sent = context_.clock.Now() - sent_at;
  // A daemon that restarted after the call was sent has no record of it.
  if (!text || Duration(uptime_us) <= since_sent) {
    co_return AttemptState::kUnknown;
  }
  co_return static_cast<AttemptState>(state);
}

}  // namespace cumin

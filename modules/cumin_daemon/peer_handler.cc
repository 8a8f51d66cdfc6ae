#include "cumin_daemon/peer_handler.h"

#include <malloc.h>

#include <cstdlib>
#include <utility>

#include "cumin_daemon/hop_codec.h"
#include "cumin_daemon/peer_response_pacer.h"

namespace cumin {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kMetricsPath[] = "/-/metrics";

HttpResponse PlainResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string TypedMetric(const char* name, const char* type,
                        std::uint64_t value) {
  return MetricType(name, type) + name + " " + std::to_string(value) + "\n";
}

std::string Gauge(const char* name, std::uint64_t value) {
  return TypedMetric(name, "gauge", value);
}

std::string Total(const char* name, std::uint64_t value) {
  return TypedMetric(name, "counter", value);
}

}  // namespace

PeerHandler::PeerHandler(DaemonContext& context, TargetDispatcher& target,
                         FleetAgent& fleet, ConfigAgent& config,
                         SuspectAgent& suspects)
    : context_(context),
      target_(target),
      fleet_(fleet),
      config_(config),
      suspects_(suspects),
      started_at_(context.clock.Now()) {}

Task<HttpResponse> PeerHandler::Handle(HttpRequest request,
                                       CallerWatch& caller) {
  if (request.headers.Has(kHopField)) {
    co_return co_await RunCall(std::move(request), caller);
  }
  if (request.path == kForbidPath) {
    co_return HandleForbid(request.body);
  }
  if (request.path == kComparePath) {
    const Result<std::string> answer = fleet_.OnCompare(request.body);
    co_return answer ? PlainResponse(200, answer.value())
                     : PlainResponse(kBadRequest, Describe(answer.error()));
  }
  if (request.path == kPullPath) {
    const std::uint64_t base_version =
        std::strtoull(request.query.c_str(), nullptr, 10);
    co_return PlainResponse(200, config_.OnPull(base_version));
  }
  if (request.path == kPushPath) {
    co_return co_await HandlePush(std::move(request));
  }
  if (request.path == kVersionNoticePath) {
    co_return HandleVersionNotice(request.query);
  }
  if (request.path == kWatchRequestPath) {
    config_.OnWatchRequest(VmId(request.query));
    co_return PlainResponse(200, "");
  }
  if (request.path == kSuspectsPath) {
    co_return HandleSuspects(request.body);
  }
  if (request.path == kQuarantinePath) {
    co_return PlainResponse(200, suspects_.ListQuarantined());
  }
  if (request.path == kLiftPath && request.method == "POST") {
    co_return HandleLift(request.query);
  }
  if (request.path == kMetricsPath) {
    co_return MakeMetricsPage();
  }
  co_return PlainResponse(kNotFound, "unknown path\n");
}

HttpResponse PeerHandler::RefuseBody(const HttpRequest& head) {
  if (!head.headers.Has(kHopField)) {
    return PlainResponse(kUnavailable, "no memory for the body\n");
  }
  CallOutcome outcome = FailedOutcome(RefusalForBody());
  context_.metrics.CountOutcome(CallHop::kTarget, outcome.verdict,
                                outcome.refusal.reason);
  outcome.load = target_.Load();
  outcome.has_load = true;
  return EncodeOutcome(std::move(outcome));
}

Task<HttpResponse> PeerHandler::RunCall(HttpRequest request,
                                        CallerWatch& caller) {
  const Result<MeshCall> call =
      DecodeHop(std::move(request), context_.clock.Now());
  if (!call) {
    co_return PlainResponse(kBadRequest, Describe(call.error()));
  }
  context_.inbound.OnBytes(call.value().request.body.size(),
                           context_.clock.Now());
  const auto pacer = std::make_shared<PeerResponsePacer>(
      context_.link, context_.executor, context_.clock, call.value(), caller);
  CallOutcome outcome = co_await target_.Run(call.value(), caller, pacer.get());
  const bool has_answer = outcome.verdict == Verdict::kRan;
  HttpResponse answer = EncodeOutcome(std::move(outcome));
  if (has_answer) {
    PeerResponsePacer::Attach(pacer, &answer);
  }
  context_.metrics.CountPeerAnswer(answer.body.size());
  co_return answer;
}

HttpResponse PeerHandler::HandleForbid(const std::string& attempt) {
  const AttemptState state = target_.Forbid(attempt);
  const Duration uptime = context_.clock.Now() - started_at_;
  context_.log.Write(EventLine("forbid-asked")
                         .With("id", attempt)
                         .With("state", ToString(state)));
  return PlainResponse(200, std::to_string(static_cast<int>(state)) + " " +
                                std::to_string(uptime.count()));
}

Task<HttpResponse> PeerHandler::HandlePush(HttpRequest request) {
  const std::size_t separator = request.query.find('&');
  if (separator == std::string::npos) {
    co_return PlainResponse(kBadRequest, "query must be sender&root\n");
  }
  const VmId from(request.query.substr(0, separator));
  const VmId root(request.query.substr(separator + 1));
  const bool applied =
      co_await config_.OnPush(from, root, std::move(request.body));
  co_return PlainResponse(applied ? 200 : kBadRequest, "");
}

HttpResponse PeerHandler::HandleSuspects(const std::string& body) {
  const Result<std::string> answer = suspects_.OnRecords(body);
  return answer ? PlainResponse(200, answer.value())
                : PlainResponse(kBadRequest, Describe(answer.error()));
}

HttpResponse PeerHandler::HandleLift(const std::string& fingerprint) {
  return suspects_.Lift(fingerprint)
             ? PlainResponse(200, "lifted\n")
             : PlainResponse(kNotFound, "no record of this fingerprint here\n");
}

HttpResponse PeerHandler::HandleVersionNotice(const std::string& query) {
  const std::size_t separator = query.find('&');
  if (separator == std::string::npos) {
    return PlainResponse(kBadRequest, "query must be sender&version\n");
  }
  config_.OnVersionNotice(
      VmId(query.substr(0, separator)),
      std::strtoull(query.c_str() + separator + 1, nullptr, 10));
  return PlainResponse(200, "");
}

std::uint64_t PeerHandler::LinkBytesPerSecond() const {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return static_cast<std::uint64_t>(context_.settings.link_mbps *
                                    kBytesPerMegabit);
}

HttpResponse PeerHandler::MakeMetricsPage() const {
  std::string text = context_.metrics.Text();
  text += MetricType("cumin_retry_budget", "gauge");
  for (const auto& [service, budget] : context_.retry_budgets) {
    text += "cumin_retry_budget{" + MetricLabel("service", service.str()) +
            "} " + std::to_string(budget.left()) + "\n";
  }
  const TargetLoad load = target_.Load();
  text += Gauge("cumin_config_version", config_.ActiveVersion());
  text += Gauge("cumin_config_age_ms", ToMillis(config_.Age()));
  text +=
      Gauge("cumin_store_quiet_ms", ToMillis(config_.TimeSinceStoreContact()));
  text += Gauge("cumin_members_live", fleet_.live_count());
  text += Gauge("cumin_target_in_flight", load.in_flight);
  text += Gauge("cumin_target_queued", load.queued);
  text +=
      Gauge("cumin_quarantined_requests", context_.suspects.QuarantinedCount());
  text += Gauge("cumin_suspect_requests", context_.suspects.size());
  text += Gauge("cumin_link_wait_ms", ToMillis(load.link_wait));
  text += Gauge("cumin_memory_allocated_bytes", mallinfo2().uordblks);
  text += Total("cumin_log_lines_dropped_total", context_.log.dropped());
  text +=
      Total("cumin_connections_opened_total", context_.connections.opened());
  text +=
      Total("cumin_connections_failed_total", context_.connections.failed());
  text += Gauge("cumin_response_body_bytes", context_.connections.body_bytes());
  text +=
      Gauge("cumin_request_body_bytes", context_.request_budget->total_bytes());
  text += Gauge(
      "cumin_caller_connections",
      context_.request_budget->connections(RequestBudget::Origin::kCallers));
  text += Gauge("cumin_peer_connections", context_.request_budget->connections(
                                              RequestBudget::Origin::kPeers));
  text += Total("cumin_connections_evicted_total",
                context_.request_budget->evicted());
  text += Total("cumin_responses_oversized_total",
                context_.connections.oversized());
  text += Gauge("cumin_config_newest_heard", context_.newest_known_version);
  text += Gauge("cumin_link_bytes_per_second", LinkBytesPerSecond());
  return PlainResponse(200, text);
}

}  // namespace cumin

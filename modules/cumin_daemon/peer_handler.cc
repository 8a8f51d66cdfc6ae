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
constexpr char kMetricsPath[] = "/-/metrics";

HttpResponse Plain(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string Typed(const char* name, const char* type, std::uint64_t value) {
  return MetricType(name, type) + name + " " + std::to_string(value) + "\n";
}

std::string Gauge(const char* name, std::uint64_t value) {
  return Typed(name, "gauge", value);
}

std::string Total(const char* name, std::uint64_t value) {
  return Typed(name, "counter", value);
}

}  // namespace

PeerHandler::PeerHandler(DaemonContext& board, TargetDispatcher& target,
                         FleetAgent& fleet, ConfigAgent& config)
    : board_(board),
      target_(target),
      fleet_(fleet),
      config_(config),
      started_at_(board.clock.Now()) {}

Task<HttpResponse> PeerHandler::Handle(HttpRequest request,
                                       CallerWatch& caller) {
  if (request.headers.Has(kHopField)) {
    co_return co_await RunCall(std::move(request), caller);
  }
  if (request.path == kForbidPath) {
    co_return Forbid(request.body);
  }
  if (request.path == kComparePath) {
    const Result<std::string> answer = fleet_.OnCompare(request.body);
    co_return answer ? Plain(200, answer.value())
                     : Plain(kBadRequest, Describe(answer.error()));
  }
  if (request.path == kPullPath) {
    const std::uint64_t have =
        std::strtoull(request.query.c_str(), nullptr, 10);
    co_return Plain(200, config_.OnPull(have));
  }
  if (request.path == kPushPath) {
    co_return co_await Push(std::move(request));
  }
  if (request.path == kTellPath) {
    co_return Tell(request.query);
  }
  if (request.path == kWatchPath) {
    config_.OnAskedToWatch(VmId(request.query));
    co_return Plain(200, "");
  }
  if (request.path == kMetricsPath) {
    co_return Metrics();
  }
  co_return Plain(kNotFound, "unknown path\n");
}

Task<HttpResponse> PeerHandler::RunCall(HttpRequest request,
                                        CallerWatch& caller) {
  const Result<MeshCall> call =
      DecodeHop(std::move(request), board_.clock.Now());
  if (!call) {
    co_return Plain(kBadRequest, Describe(call.error()));
  }
  const auto delivery = std::make_shared<PeerResponsePacer>(
      board_.link, board_.executor, board_.clock, call.value(), caller);
  CallOutcome outcome =
      co_await target_.Run(call.value(), caller, delivery.get());
  const bool has_answer = outcome.verdict == Verdict::kRan;
  HttpResponse answer = EncodeOutcome(std::move(outcome));
  if (has_answer) {
    PeerResponsePacer::Attach(delivery, &answer);
  }
  board_.metrics.CountPeerAnswer(answer.body.size());
  co_return answer;
}

HttpResponse PeerHandler::Forbid(const std::string& attempt) {
  const AttemptState state = target_.Forbid(attempt);
  const Duration up_for = board_.clock.Now() - started_at_;
  board_.log.Write(EventLine("forbid-asked")
                       .With("id", attempt)
                       .With("state", ToString(state)));
  return Plain(200, std::to_string(static_cast<int>(state)) + " " +
                        std::to_string(up_for.count()));
}

Task<HttpResponse> PeerHandler::Push(HttpRequest request) {
  const std::size_t mark = request.query.find('&');
  if (mark == std::string::npos) {
    co_return Plain(kBadRequest, "sender and root are missing\n");
  }
  const VmId from(request.query.substr(0, mark));
  const VmId root(request.query.substr(mark + 1));
  const bool taken =
      co_await config_.OnPush(from, root, std::move(request.body));
  co_return Plain(taken ? 200 : kBadRequest, "");
}

HttpResponse PeerHandler::Tell(const std::string& query) {
  const std::size_t mark = query.find('&');
  if (mark == std::string::npos) {
    return Plain(kBadRequest, "sender and version are missing\n");
  }
  config_.OnTold(VmId(query.substr(0, mark)),
                 std::strtoull(query.c_str() + mark + 1, nullptr, 10));
  return Plain(200, "");
}

std::uint64_t PeerHandler::LinkBytesPerSecond() const {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return static_cast<std::uint64_t>(board_.settings.link_mbps *
                                    kBytesPerMegabit);
}

HttpResponse PeerHandler::Metrics() const {
  std::string text = board_.metrics.Text();
  text += MetricType("cumin_retry_budget", "gauge");
  for (const auto& [service, budget] : board_.retry_budgets) {
    text += "cumin_retry_budget{" + MetricLabel("service", service.str()) +
            "} " + std::to_string(budget.left()) + "\n";
  }
  const TargetLoad load = target_.Load();
  text += Gauge("cumin_config_version", config_.InForce());
  text += Gauge("cumin_config_age_ms", ToMillis(config_.Age()));
  text += Gauge("cumin_store_quiet_ms", ToMillis(config_.StoreQuiet()));
  text += Gauge("cumin_members_live", fleet_.live_count());
  text += Gauge("cumin_target_in_flight", load.in_flight);
  text += Gauge("cumin_target_queued", load.queued);
  text += Gauge("cumin_link_wait_ms", ToMillis(load.link_wait));
  text += Gauge("cumin_memory_allocated_bytes", mallinfo2().uordblks);
  text += Total("cumin_log_lines_dropped_total", board_.log.dropped());
  text += Total("cumin_connections_opened_total", board_.connections.opened());
  text += Total("cumin_connections_failed_total", board_.connections.failed());
  text += Gauge("cumin_config_newest_heard", board_.newest_known_version);
  text += Gauge("cumin_link_bytes_per_second", LinkBytesPerSecond());
  return Plain(200, text);
}

}  // namespace cumin

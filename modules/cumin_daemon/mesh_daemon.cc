#include "cumin_daemon/mesh_daemon.h"

#include <malloc.h>

#include <algorithm>

#include "cumin_daemon/allotment_agent.h"
#include "cumin_daemon/counted_store.h"
#include "cumin_daemon/freshness_agent.h"
#include "cumin_daemon/inbound_agent.h"
#include "cumin_daemon/ingress.h"
#include "cumin_daemon/peer_discovery.h"
#include "cumin_daemon/peer_handler.h"
#include "cumin_daemon/rollout_agent.h"
#include "cumin_daemon/suspect_agent.h"

namespace cumin {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
/** Event loop lag that is logged, because it delays callers. */
constexpr Duration kLoopLagLogThreshold = std::chrono::milliseconds(100);
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(100);
constexpr Duration kSweepInterval = std::chrono::seconds(1);
/** Callers stop after two failed readiness checks, which are one second apart.
    Until then, but for at most half of the grace period, all calls are still
    accepted. */
constexpr Duration kReadinessNoticePeriod = std::chrono::milliseconds(2300);
/** The process exits this long before it would be killed. */
constexpr Duration kKillMargin = std::chrono::milliseconds(400);
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(60);
/** Many times the size of a target's announcement. */
constexpr std::size_t kMaxLocalBodyBytes = std::size_t{64} << 10U;
/** How long a started daemon waits for the table of a peer, which knows which
    target process withdrew before. Longer than the round trips to join the
    mesh, and short for the callers of a daemon that reaches no peer. */
constexpr Duration kHistoryTimeout = std::chrono::seconds(1);

class ReadinessHandler final : public HttpRequestHandler {
 public:
  explicit ReadinessHandler(const DaemonContext& context) : context_(context) {}

  Task<HttpResponse> Handle(HttpRequest /*request*/,
                            CallerWatch& /*caller*/) override {
    HttpResponse response;
    response.status = context_.ready && !context_.is_shutting_down ? 200 : 503;
    co_return response;
  }

 private:
  const DaemonContext& context_;
};

/** Counts and logs connections that ended before a request was answered. */
class CutReporter final : public HttpListener::Listener {
 public:
  /** @param from  "callers" or "peers", as in the metrics */
  CutReporter(DaemonContext& context, const char* from)
      : context_(context), from_(from) {}

  void OnCut(const ConnectionCut& cut) override {
    const char* const reason = ToString(cut.reason);
    context_.metrics.CountCut(from_, reason);
    context_.log.Write(EventLine("connection-cut")
                           .With("from", from_)
                           .With("reason", reason)
                           .With("detail", cut.detail)
                           .With("path", cut.path)
                           .With("after_ms", cut.after));
  }

 private:
  DaemonContext& context_;
  const char* const from_;
};

}  // namespace

class MeshDaemon::Impl {
 public:
  Impl(asio::io_context& loop, DaemonContext& context, TargetDispatcher& target,
       AsyncStore& store, const RouteSource& source,
       HttpRequestHandler& announcements)
      : loop_(loop),
        context_(context),
        target_(target),
        store_(store, context.metrics),
        peers_(context),
        config_(context, peers_, store_, source),
        fleet_(context, peers_),
        suspects_(context, peers_, fleet_, store_),
        contacts_(context, store_, fleet_, suspects_),
        rollouts_(context, fleet_, config_, store_, source),
        freshness_(context, fleet_, config_, rollouts_),
        allotments_(context, fleet_),
        inbound_(context, fleet_),
        ingress_(context, target, peers_, inbound_),
        peer_handler_(context, target, fleet_, config_, suspects_),
        readiness_(context),
        caller_cut_reporter_(context, "callers"),
        peer_cut_reporter_(context, "peers"),
        caller_listener_(context.executor, ingress_),
        peer_listener_(context.executor, peer_handler_),
        readiness_listener_(context.executor, readiness_),
        announcement_listener_(context.executor, announcements) {
    ListenerLimits limits;
    limits.idle_timeout = kPeerIdleTimeout;
    peer_listener_.SetLimits(limits);
    ListenerLimits local_limits;
    local_limits.max_body_bytes = kMaxLocalBodyBytes;
    readiness_listener_.SetLimits(local_limits);
    announcement_listener_.SetLimits(local_limits);
    using Origin = RequestBudget::Origin;
    caller_listener_.SetRequestBudget(context.request_budget, Origin::kCallers);
    peer_listener_.SetRequestBudget(context.request_budget, Origin::kPeers);
    readiness_listener_.SetRequestBudget(context.local_budget,
                                         Origin::kCallers);
    announcement_listener_.SetRequestBudget(context.local_budget,
                                            Origin::kPeers);
    caller_listener_.SetListener(&caller_cut_reporter_);
    peer_listener_.SetListener(&peer_cut_reporter_);
    config_.SetOnChange([this] { OnRoutesChanged(); });
    fleet_.AddListener(config_);
    fleet_.AddListener(suspects_);
    target_.SetCrashListener(suspects_);
  }

  Result<void> Start() {
    const MeshSettings& settings = context_.settings;
    const std::pair<HttpListener*, Endpoint> listeners[] = {
        {&caller_listener_, settings.callers},
        {&peer_listener_, settings.peers},
        {&readiness_listener_, settings.readiness},
        {&announcement_listener_, settings.announcements}};
    for (const auto& [listener, endpoint] : listeners) {
      const Result<Endpoint> bound = listener->Start(endpoint);
      if (!bound) {
        return bound.error();
      }
    }
    const Result<void> started = fleet_.Start();
    if (!started) {
      return started.error();
    }
    context_.announcements.AwaitHistory(context_.clock.Now() + kHistoryTimeout);
    contacts_.Start();
    rollouts_.Start();
    config_.Start(fleet_);
    freshness_.Start();
    allotments_.Start();
    inbound_.Start();
    asio::co_spawn(context_.executor, RunTickLoop(), asio::detached);
    asio::co_spawn(context_.executor, RunSweep(), asio::detached);
    context_.log.Write(EventLine("started")
                           .With("callers", ToString(settings.callers))
                           .With("peers", ToString(settings.peers))
                           .With("service", settings.service.str()));
    return Ok();
  }

  void BeginShutdown() {
    if (!context_.is_shutting_down) {
      asio::co_spawn(context_.executor, Shutdown(), asio::detached);
    }
  }

  void OnAnnouncement() {
    target_.OnAnnouncement();
    fleet_.AnnounceTarget();
  }

  Task<void> OnWithdrawal() {
    OnAnnouncement();
    co_await fleet_.ReplicateSelf();
  }

 private:
  Task<void> Shutdown() {
    const MonoTime began = context_.clock.Now();
    const Duration grace = context_.settings.grace;
    context_.log.Write(EventLine("leaving").With("grace_ms", grace));
    context_.is_shutting_down = true;
    context_.exit_at = began + grace - kKillMargin;
    caller_listener_.CloseAfterResponses();
    asio::co_spawn(context_.executor, contacts_.Unregister(), asio::detached);
    const Duration notice = std::min(kReadinessNoticePeriod, grace / 2);
    while (context_.clock.Now() < began + notice) {
      co_await SleepFor(kTick);
    }
    context_.is_draining = true;
    OnAnnouncement();
    fleet_.Leave();
    caller_listener_.StopAccepting();
    do {
      // Sleep at least once: received requests count as busy only after they
      // have been read.
      co_await SleepFor(kTick);
    } while (context_.clock.Now() < *context_.exit_at && IsBusy());
    context_.log.Write(
        EventLine("stopped")
            .With("after_ms", context_.clock.Now() - began)
            .With("open_calls", caller_listener_.busy_connections()));
    context_.log.Flush();
    loop_.stop();
  }

  bool IsBusy() const {
    return caller_listener_.busy_connections() > 0 ||
           peer_listener_.busy_connections() > 0;
  }

  Task<void> RunTickLoop() {
    MonoTime next_flush = context_.clock.Now();
    while (true) {
      const MonoTime due = context_.clock.Now() + kTick;
      co_await SleepFor(kTick);
      RecordLoopLag(context_.clock.Now() - due);
      target_.Tick();
      if (context_.clock.Now() >= next_flush) {
        context_.log.Flush();
        next_flush = context_.clock.Now() + kLogFlushInterval;
      }
    }
  }

  void RecordLoopLag(MonoTime::duration behind) {
    const auto lag = std::chrono::duration_cast<Duration>(behind);
    context_.metrics.ObserveLoopLag(lag);
    if (lag >= kLoopLagLogThreshold) {
      context_.log.Write(EventLine("loop-late").With("by_ms", lag));
    }
  }

  Task<void> RunSweep() {
    while (true) {
      co_await SleepFor(kSweepInterval);
      context_.connections.CloseExpired();
      context_.suspects.Expire(context_.clock.Now());
    }
  }

  void OnRoutesChanged() {
    const CallerLimits& from = context_.routes->limits();
    ListenerLimits limits;
    limits.max_header_bytes = from.max_header_bytes;
    limits.max_body_bytes = from.max_body_bytes;
    limits.header_timeout = from.header_timeout;
    limits.idle_timeout = from.idle_timeout;
    caller_listener_.SetLimits(limits);
    // Parsing a version needs several times the memory of the parsed table.
    malloc_trim(0);
  }

  asio::io_context& loop_;
  DaemonContext& context_;
  TargetDispatcher& target_;
  CountedStore store_;
  PeerClient peers_;
  ConfigAgent config_;
  FleetAgent fleet_;
  SuspectAgent suspects_;
  PeerDiscovery contacts_;
  RolloutAgent rollouts_;
  FreshnessAgent freshness_;
  AllotmentAgent allotments_;
  InboundAgent inbound_;
  Ingress ingress_;
  PeerHandler peer_handler_;
  ReadinessHandler readiness_;
  CutReporter caller_cut_reporter_;
  CutReporter peer_cut_reporter_;
  HttpListener caller_listener_;
  HttpListener peer_listener_;
  HttpListener readiness_listener_;
  HttpListener announcement_listener_;
};

MeshDaemon::MeshDaemon(asio::io_context& loop, DaemonContext& context,
                       TargetDispatcher& target, AsyncStore& store,
                       const RouteSource& source,
                       HttpRequestHandler& announcements)
    : implementation_(std::make_unique<Impl>(loop, context, target, store,
                                             source, announcements)) {}

MeshDaemon::~MeshDaemon() = default;

Result<void> MeshDaemon::Start() { return implementation_->Start(); }

void MeshDaemon::BeginShutdown() { implementation_->BeginShutdown(); }

void MeshDaemon::OnAnnouncement() { implementation_->OnAnnouncement(); }

Task<void> MeshDaemon::OnWithdrawal() {
  return implementation_->OnWithdrawal();
}

}  // namespace cumin

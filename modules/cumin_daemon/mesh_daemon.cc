#include "cumin_daemon/mesh_daemon.h"

#include <malloc.h>

#include <algorithm>

#include "cumin_daemon/contact_keeper.h"
#include "cumin_daemon/counted_store.h"
#include "cumin_daemon/ingress.h"
#include "cumin_daemon/peer_handler.h"

namespace cumin {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
/** An event loop that is late by this much keeps callers waiting. */
constexpr Duration kLongLag = std::chrono::milliseconds(100);
constexpr Duration kLogFlush = std::chrono::milliseconds(100);
constexpr Duration kIdleSweep = std::chrono::seconds(1);
/** Callers are told not to come by two readiness answers, a second apart; until
    they know, and for at most half of the grace time, all work is still taken.
 */
constexpr Duration kNoticeTime = std::chrono::milliseconds(2300);
/** The process ends this long before it would be killed. */
constexpr Duration kKillMargin = std::chrono::milliseconds(400);
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(60);

class ReadinessHandler final : public HttpRequestHandler {
 public:
  explicit ReadinessHandler(const MeshBoard& board) : board_(board) {}

  Task<HttpResponse> Handle(HttpRequest /*request*/,
                            CallerWatch& /*caller*/) override {
    HttpResponse response;
    response.status = board_.ready && !board_.ends_soon ? 200 : 503;
    co_return response;
  }

 private:
  const MeshBoard& board_;
};

/** Counts and logs the requests that a listener left without an answer. */
class CutReport final : public HttpListener::Listener {
 public:
  /** @param from  whose requests, as on the metrics page */
  CutReport(MeshBoard& board, const char* from) : board_(board), from_(from) {}

  void OnCut(const ConnectionCut& cut) override {
    const char* const reason = ToString(cut.reason);
    board_.metrics.CountCut(from_, reason);
    board_.log.Write(EventLine("connection-cut")
                         .With("from", from_)
                         .With("reason", reason)
                         .With("detail", cut.detail)
                         .With("path", cut.path)
                         .With("after_ms", cut.after));
  }

 private:
  MeshBoard& board_;
  const char* const from_;
};

}  // namespace

class MeshDaemon::Implementation {
 public:
  Implementation(asio::io_context& loop, MeshBoard& board, TargetPort& target,
                 AsyncStore& store, const RouteSource& source,
                 HttpRequestHandler& announcements)
      : loop_(loop),
        board_(board),
        target_(target),
        store_(store, board.metrics),
        peers_(board),
        config_(board, peers_, store_, source),
        fleet_(board, peers_, config_),
        contacts_(board, store_, fleet_),
        ingress_(board, target, peers_),
        peer_handler_(board, target, fleet_, config_),
        readiness_(board),
        caller_cuts_(board, "callers"),
        peer_cuts_(board, "peers"),
        caller_listener_(board.executor, ingress_),
        peer_listener_(board.executor, peer_handler_),
        readiness_listener_(board.executor, readiness_),
        announcement_listener_(board.executor, announcements) {
    ListenerLimits limits;
    limits.idle_timeout = kPeerIdleTimeout;
    peer_listener_.SetLimits(limits);
    caller_listener_.SetListener(&caller_cuts_);
    peer_listener_.SetListener(&peer_cuts_);
    config_.SetOnChange([this] { OnRoutesChanged(); });
  }

  Result<void> Start() {
    const MeshSettings& settings = board_.settings;
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
    contacts_.Start();
    config_.Start(fleet_);
    asio::co_spawn(board_.executor, TickForever(), asio::detached);
    asio::co_spawn(board_.executor, SweepForever(), asio::detached);
    board_.log.Write(EventLine("started")
                         .With("callers", ToString(settings.callers))
                         .With("peers", ToString(settings.peers))
                         .With("service", settings.service.str()));
    return Ok();
  }

  void BeginLeave() {
    if (!board_.ends_soon) {
      asio::co_spawn(board_.executor, Leave(), asio::detached);
    }
  }

  void OnAnnouncement() {
    target_.OnAnnouncement();
    fleet_.AnnounceTarget();
  }

 private:
  Task<void> Leave() {
    const MonoTime began = board_.clock.Now();
    const Duration grace = board_.settings.grace;
    board_.log.Write(EventLine("leaving").With("grace_ms", grace));
    board_.ends_soon = true;
    caller_listener_.CloseAfterResponses();
    asio::co_spawn(board_.executor, contacts_.Withdraw(), asio::detached);
    const Duration notice = std::min(kNoticeTime, grace / 2);
    while (board_.clock.Now() < began + notice) {
      co_await SleepFor(kTick);
    }
    board_.leaving = true;
    OnAnnouncement();
    fleet_.Leave();
    caller_listener_.StopAccepting();
    do {
      // Requests that have arrived count as busy once they have been read.
      co_await SleepFor(kTick);
    } while (board_.clock.Now() < began + grace - kKillMargin && IsBusy());
    board_.log.Write(
        EventLine("stopped")
            .With("after_ms", board_.clock.Now() - began)
            .With("open_calls", caller_listener_.busy_connections()));
    board_.log.Flush();
    loop_.stop();
  }

  bool IsBusy() const {
    return caller_listener_.busy_connections() > 0 ||
           peer_listener_.busy_connections() > 0;
  }

  Task<void> TickForever() {
    MonoTime next_flush = board_.clock.Now();
    while (true) {
      const MonoTime due = board_.clock.Now() + kTick;
      co_await SleepFor(kTick);
      NoteLag(board_.clock.Now() - due);
      target_.Tick();
      if (board_.clock.Now() >= next_flush) {
        board_.log.Flush();
        next_flush = board_.clock.Now() + kLogFlush;
      }
    }
  }

  void NoteLag(MonoTime::duration behind) {
    const auto lag = std::chrono::duration_cast<Duration>(behind);
    board_.metrics.ObserveLoopLag(lag);
    if (lag >= kLongLag) {
      board_.log.Write(EventLine("loop-late").With("by_ms", lag));
    }
  }

  Task<void> SweepForever() {
    while (true) {
      co_await SleepFor(kIdleSweep);
      board_.connections.CloseExpired();
    }
  }

  void OnRoutesChanged() {
    const CallerLimits& from = board_.routes->limits();
    ListenerLimits limits;
    limits.max_header_bytes = from.max_header_bytes;
    limits.max_body_bytes = from.max_body_bytes;
    limits.header_timeout = from.header_timeout;
    limits.idle_timeout = from.idle_timeout;
    caller_listener_.SetLimits(limits);
    // Reading a version takes several times the memory that it is held in.
    malloc_trim(0);
  }

  asio::io_context& loop_;
  MeshBoard& board_;
  TargetPort& target_;
  CountedStore store_;
  PeerClient peers_;
  ConfigAgent config_;
  FleetAgent fleet_;
  ContactKeeper contacts_;
  Ingress ingress_;
  PeerHandler peer_handler_;
  ReadinessHandler readiness_;
  CutReport caller_cuts_;
  CutReport peer_cuts_;
  HttpListener caller_listener_;
  HttpListener peer_listener_;
  HttpListener readiness_listener_;
  HttpListener announcement_listener_;
};

MeshDaemon::MeshDaemon(asio::io_context& loop, MeshBoard& board,
                       TargetPort& target, AsyncStore& store,
                       const RouteSource& source,
                       HttpRequestHandler& announcements)
    : implementation_(std::make_unique<Implementation>(
          loop, board, target, store, source, announcements)) {}

MeshDaemon::~MeshDaemon() = default;

Result<void> MeshDaemon::Start() { return implementation_->Start(); }

void MeshDaemon::BeginLeave() { implementation_->BeginLeave(); }

void MeshDaemon::OnAnnouncement() { implementation_->OnAnnouncement(); }

}  // namespace cumin

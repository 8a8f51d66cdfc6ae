#include "cumin_proxy/daemon.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include "cumin_core/logging.h"
#include "cumin_core/tracing.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/control_plane.h"
#include "cumin_proxy/front.h"
#include "cumin_proxy/ingress_path.h"
#include "cumin_proxy/ledger_controller.h"
#include "cumin_proxy/ledger_table.h"
#include "cumin_proxy/order_path.h"
#include "cumin_proxy/owner_path.h"
#include "cumin_proxy/remote_path.h"
#include "cumin_proxy/suspect_notifier.h"
#include "cumin_store/http_store.h"

namespace cumin {

namespace {

constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
/** Longest wait for attempts under way before ledger shards are handed over. */
constexpr Duration kHandoverLimit = std::chrono::seconds(2);
/** Threads beyond the workers, for control messages. */
constexpr unsigned kControlThreads = 16;

HttpServerOptions ServerOptions(const DaemonSettings& settings) {
  HttpServerOptions options;
  options.max_threads =
      static_cast<unsigned>(settings.workers) + kControlThreads;
  return options;
}

LeaseOptions LedgerLease(const DaemonSettings& settings) {
  constexpr int kRenewalsPerLease = 3;
  constexpr int kMarginDivisor = 20;
  LeaseOptions options;
  options.length = settings.ledger_lease;
  options.renew_interval = settings.ledger_lease / kRenewalsPerLease;
  options.expiry_margin = settings.ledger_lease / kMarginDivisor;
  return options;
}

std::uint64_t SystemSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

class Daemon::Implementation {
 public:
  explicit Implementation(const DaemonSettings& settings)
      : trace_(settings.trace_file.empty() ? "/dev/null" : settings.trace_file,
               std::ios::app),
        board_(settings, clock_, SystemSeed()),
        store_(settings.store, kStoreTimeout),
        notifier_(board_),
        owner_(board_, notifier_),
        remote_(board_),
        ledger_(settings.vm, clock_, board_.random, LedgerLease(settings)),
        orders_(board_, ledger_, owner_, remote_),
        ingress_(board_, owner_, remote_, orders_),
        front_(board_, ingress_, owner_, orders_, dispatcher_),
        control_(board_, store_, dispatcher_),
        ledger_controller_(board_, store_, ledger_),
        server_(front_, ServerOptions(settings)) {
    notifier_.Register(dispatcher_);
    LedgerController::Register(dispatcher_, ledger_);
    board_.tracer =
        std::make_shared<JsonTracer>(settings.vm.str(), trace_, SystemSeed());
  }

  Result<Endpoint> Start() {
    Result<Endpoint> bound = server_.Start(board_.settings.listen);
    if (!bound) {
      return bound;
    }
    control_.Start(bound.value());
    ledger_controller_.Start();
    CUMIN_LOG(info) << "listening on " << bound.value();
    return bound;
  }

  int Drain() {
    const MonoTime start = clock_.Now();
    const Duration notice =
        std::min(board_.settings.leave_notice, board_.settings.drain_limit);
    board_.leaving = true;
    board_.gate.BeginLeave(notice);
    CUMIN_LOG(info) << "draining " << front_.active_calls() << " calls";
    // Callers see the readiness flip and turn away while they are served.
    WaitUntil(start + notice, [] { return false; });
    board_.refuses_callers = true;
    ledger_controller_.Leave(kHandoverLimit);
    WaitUntil(start + board_.settings.drain_limit, [this] {
      const bool target_done = board_.gate.AdvanceDrain() == DrainStep::kEnded;
      return target_done && front_.active_calls() == 0;
    });
    const int cut = front_.active_calls();
    control_.Leave();
    server_.Stop();
    CUMIN_LOG(info) << "ended, " << cut << " calls cut";
    return cut;
  }

 private:
  template <typename Condition>
  void WaitUntil(MonoTime end, Condition&& condition) {
    while (clock_.Now() < end && !condition()) {
      std::this_thread::sleep_for(kDrainPoll);
    }
  }

  SystemClock clock_;
  std::ofstream trace_;
  Blackboard board_;
  HttpStore store_;
  SuspectNotifier notifier_;
  OwnerPath owner_;
  RemotePath remote_;
  LedgerTable ledger_;
  OrderPath orders_;
  IngressPath ingress_;
  JsonRpcDispatcher dispatcher_;
  Front front_;
  ControlPlane control_;
  LedgerController ledger_controller_;
  HttpServer server_;
};

Daemon::Daemon(const DaemonSettings& settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

Daemon::~Daemon() = default;

Result<Endpoint> Daemon::Start() { return implementation_->Start(); }

int Daemon::Drain() { return implementation_->Drain(); }

}  // namespace cumin

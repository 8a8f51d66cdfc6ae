#include "cumin_proxy/daemon.h"

#include <unistd.h>

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
#include "cumin_proxy/owner_path.h"
#include "cumin_proxy/remote_path.h"
#include "cumin_store/http_store.h"

namespace cumin {

namespace {

constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
/** Threads beyond the workers, for control messages. */
constexpr unsigned kControlThreads = 16;

HttpServerOptions ServerOptions(const DaemonSettings& settings) {
  HttpServerOptions options;
  options.max_threads =
      static_cast<unsigned>(settings.workers) + kControlThreads;
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
        owner_(board_),
        remote_(board_),
        ingress_(board_, owner_, remote_),
        front_(board_, ingress_, owner_, dispatcher_),
        control_(board_, store_, dispatcher_),
        server_(front_, ServerOptions(settings)) {
    board_.tracer =
        std::make_shared<JsonTracer>(settings.vm.str(), trace_, SystemSeed());
  }

  Result<Endpoint> Start() {
    Result<Endpoint> bound = server_.Start(board_.settings.listen);
    if (!bound) {
      return bound;
    }
    control_.Start(bound.value());
    CUMIN_LOG(info) << "listening on " << bound.value();
    return bound;
  }

  int Drain() {
    board_.leaving = true;
    CUMIN_LOG(info) << "draining " << front_.active_calls() << " calls";
    const MonoTime end = clock_.Now() + board_.settings.drain_limit;
    while (front_.active_calls() > 0 && clock_.Now() < end) {
      std::this_thread::sleep_for(kDrainPoll);
    }
    const int cut = front_.active_calls();
    control_.Leave();
    server_.Stop();
    CUMIN_LOG(info) << "ended, " << cut << " calls cut";
    return cut;
  }

 private:
  SystemClock clock_;
  std::ofstream trace_;
  Blackboard board_;
  HttpStore store_;
  OwnerPath owner_;
  RemotePath remote_;
  IngressPath ingress_;
  JsonRpcDispatcher dispatcher_;
  Front front_;
  ControlPlane control_;
  HttpServer server_;
};

Daemon::Daemon(const DaemonSettings& settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

Daemon::~Daemon() = default;

Result<Endpoint> Daemon::Start() { return implementation_->Start(); }

int Daemon::Drain() { return implementation_->Drain(); }

}  // namespace cumin

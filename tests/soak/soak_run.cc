#include "soak/soak_run.h"

#include <memory>
#include <utility>

#include "cumin_core/random.h"
#include "platform_headers.h"
#include "soak/soak_vm.h"
#include "standins/platform_store/platform_store_standin.h"

namespace cumin::test {

namespace {

constexpr char kConfigurationKey[] = "op/config";
constexpr int kCallersOnAVm = 2;
constexpr std::uint64_t kMinThinkMs = 5;
constexpr std::uint64_t kThinkSpanMs = 40;
constexpr Duration kPoll = std::chrono::milliseconds(20);
constexpr Duration kVersionInterval = std::chrono::milliseconds(25);
constexpr std::uint64_t kOlderVersions = 3;
/** Ends a run that hangs; four times the time that the pages give the mesh to
    recover. */
constexpr Duration kGiveUpAfter = std::chrono::seconds(60);

struct SoakRoute {
  const char* prefix;
  const char* kind;
  const char* service;
  bool may_repeat;
};

constexpr SoakRoute kRoutes[] = {{"/a/", "idempotent", "svc0", true},
                                 {"/b/", "idempotent", "svc1", true},
                                 {"/c/", "non_idempotent", "svc0", false},
                                 {"/d/", "non_idempotent", "svc1", false}};

/** The routes of all versions, and one that only this version has. */
std::string ConfigurationOf(int version) {
  std::vector<RouteText> routes;
  for (const SoakRoute& it : kRoutes) {
    routes.push_back(
        {it.prefix + std::string("r"), it.prefix, it.kind, it.service});
  }
  routes.push_back(
      {"version", "/v" + std::to_string(version) + "/", "idempotent", "svc0"});
  return MakeConfigurationText(version, routes);
}

class SoakRun {
 public:
  SoakRun(const FaultPlan& plan, std::uint64_t seed, std::string folder)
      : faults_(DrawFaults(plan, seed)),
        random_(seed),
        store_listener_(loop_.get_executor(), store_),
        connections_(loop_.get_executor()),
        world_{loop_.get_executor(),
               clock_,
               random_,
               judge_,
               connections_,
               platform::PlatformHeaderNames(),
               std::move(folder),
               0} {
    ChangeConfiguration();
    const Endpoint store =
        store_listener_.Start(Endpoint{"127.0.0.1", 0}).value();
    for (int i = 0; i < plan.vms; ++i) {
      vms_.push_back(std::make_unique<SoakVm>(world_, i, store));
    }
    report_.seed = seed;
    report_.faults = faults_;
  }

  SoakReport Run() {
    asio::co_spawn(loop_, Main(), asio::detached);
    asio::co_spawn(loop_, GiveUp(), asio::detached);
    loop_.run();
    report_.broken = judge_.broken();
    report_.calls = judge_.calls();
    report_.served = judge_.served();
    return report_;
  }

 private:
  Task<void> Main() {
    for (const auto& it : vms_) {
      it->Start();
    }
    co_await Settle();
    for (const auto& it : vms_) {
      for (int i = 0; i < kCallersOnAVm; ++i) {
        asio::co_spawn(loop_, CallForever(*it), asio::detached);
      }
      asio::co_spawn(loop_, AskVersionsForever(*it), asio::detached);
    }
    const MonoTime began = clock_.Now();
    for (const FaultEvent& it : faults_) {
      while (clock_.Now() < began + it.at) {
        co_await SleepFor(kPoll);
      }
      asio::co_spawn(loop_, Strike(it), asio::detached);
    }
    while (struck_ < static_cast<int>(faults_.size())) {
      co_await SleepFor(kPoll);
    }
    co_await Settle();
    loop_.stop();
  }

  Task<void> GiveUp() {
    co_await SleepFor(faults_.back().at + kGiveUpAfter);
    judge_.Add(Promise::kRecovers, waits_for_);
    loop_.stop();
  }

  /** Waits until every VM serves every route and the newest version. */
  Task<void> Settle() {
    for (const auto& it : vms_) {
      for (const SoakRoute& route : kRoutes) {
        waits_for_ = it->addresses().vm + " " + route.prefix;
        int status = 0;
        while (status != 200) {
          status = co_await it->Call(route.prefix, route.may_repeat);
          co_await SleepFor(kPoll);
        }
      }
      waits_for_ =
          it->addresses().vm + " version " + std::to_string(world_.version);
      int status = 0;
      while (status != 200) {
        status = co_await it->CallVersion(world_.version);
        co_await SleepFor(kPoll);
      }
    }
  }

  Task<void> CallForever(SoakVm& vm) {
    while (true) {
      const SoakRoute& route = kRoutes[random_.Below(std::size(kRoutes))];
      (void)co_await vm.Call(route.prefix, route.may_repeat);
      const std::uint64_t think = kMinThinkMs + random_.Below(kThinkSpanMs);
      co_await SleepFor(std::chrono::milliseconds(think));
    }
  }

  Task<void> AskVersionsForever(SoakVm& vm) {
    while (true) {
      const auto back = static_cast<int>(random_.Below(kOlderVersions));
      const int version = world_.version - back;
      if (version > 0) {
        (void)co_await vm.CallVersion(version);
      }
      co_await SleepFor(kVersionInterval);
    }
  }

  Task<void> Strike(FaultEvent event) {
    SoakVm& vm = *vms_[static_cast<std::size_t>(event.vm)];
    switch (event.kind) {
      case FaultKind::kKill:
        vm.Kill(event.length);
        break;
      case FaultKind::kTerminate:
        vm.Terminate();
        break;
      case FaultKind::kPause:
        co_await vm.Pause(event.length);
        break;
      case FaultKind::kStoreLink:
        co_await vm.SpoilStoreLink(event.link, event.length);
        break;
      case FaultKind::kTargetLink:
        co_await vm.SpoilTargetLink(event.link, event.length);
        break;
      case FaultKind::kStoreDown:
        store_.is_down = true;
        co_await SleepFor(event.length);
        store_.is_down = false;
        break;
      case FaultKind::kStoreLosesAnswers:
        store_.answers_to_lose += 1;
        co_await SleepFor(event.length);
        store_.answers_to_lose -= 1;
        break;
      case FaultKind::kStoreForgets:
        store_.CompactHistory();
        break;
      case FaultKind::kLeasesEnd:
        store_.ExpireAllLeases();
        break;
      case FaultKind::kTargetLeaves:
        co_await vm.ReplaceTarget(event.length);
        break;
      case FaultKind::kConfiguration:
        ChangeConfiguration();
        break;
    }
    struck_ += 1;
  }

  void ChangeConfiguration() {
    world_.version += 1;
    store_.Put(kConfigurationKey, ConfigurationOf(world_.version));
  }

  // The loop goes last: what still runs on it refers to the rest.
  asio::io_context loop_{1};
  const SystemClock clock_;
  const std::vector<FaultEvent> faults_;
  SeededRandom random_;
  SoakJudge judge_;
  PlatformStoreStandin store_;
  HttpListener store_listener_;
  HttpConnectionPool connections_;
  SoakWorld world_;
  std::vector<std::unique_ptr<SoakVm>> vms_;
  SoakReport report_;
  std::string waits_for_;
  int struck_ = 0;
};

}  // namespace

std::string SoakReport::Text() const {
  std::string text = "seed " + std::to_string(seed) + ": " +
                     std::to_string(calls) + " calls, " +
                     std::to_string(served) + " served, " +
                     std::to_string(broken.size()) + " broken\n";
  for (const FaultEvent& it : faults) {
    text += "  " + Describe(it) + "\n";
  }
  for (const BrokenPromise& it : broken) {
    text += std::string("  BROKEN ") + ToString(it.promise) + ": " + it.detail +
            "\n";
  }
  return text;
}

SoakReport RunSoak(const FaultPlan& plan, std::uint64_t seed,
                   const std::string& folder) {
  SoakRun run(plan, seed, folder);
  return run.Run();
}

}  // namespace cumin::test

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
constexpr int kCallersPerVm = 2;
constexpr std::uint64_t kMinThinkMs = 5;
constexpr std::uint64_t kThinkSpanMs = 40;
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr Duration kVersionProbeInterval = std::chrono::milliseconds(25);
constexpr std::uint64_t kProbedVersions = 3;
/** Time after the last fault at which a run that hangs is ended: four times the
    recovery time that the documentation gives for the mesh. */
constexpr Duration kRecoveryTimeout = std::chrono::seconds(60);

struct SoakRoute {
  const char* prefix;
  const char* kind;
  const char* service;
  bool is_idempotent;
};

constexpr SoakRoute kRoutes[] = {{"/a/", "idempotent", "svc0", true},
                                 {"/b/", "idempotent", "svc1", true},
                                 {"/c/", "non_idempotent", "svc0", false},
                                 {"/d/", "non_idempotent", "svc1", false}};

/** @returns a configuration with the routes of all versions, and one route that
    exists in this version only */
std::string ConfigurationTextFor(int version) {
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
        context_{loop_.get_executor(),
                 clock_,
                 random_,
                 checker_,
                 connections_,
                 platform::PlatformHeaderNames(),
                 std::move(folder),
                 0} {
    ChangeConfiguration();
    const Endpoint store =
        store_listener_.Start(Endpoint{"127.0.0.1", 0}).value();
    for (int i = 0; i < plan.vms; ++i) {
      vms_.push_back(std::make_unique<SoakVm>(context_, i, store));
    }
    report_.seed = seed;
    report_.faults = faults_;
  }

  SoakReport Run() {
    asio::co_spawn(loop_, Main(), asio::detached);
    asio::co_spawn(loop_, StopOnTimeout(), asio::detached);
    loop_.run();
    report_.violations = checker_.violations();
    report_.calls = checker_.calls();
    report_.served = checker_.served();
    return report_;
  }

 private:
  Task<void> Main() {
    for (const auto& it : vms_) {
      it->Start();
    }
    co_await WaitUntilServed();
    for (const auto& it : vms_) {
      for (int i = 0; i < kCallersPerVm; ++i) {
        asio::co_spawn(loop_, CallForever(*it), asio::detached);
      }
      asio::co_spawn(loop_, ProbeVersionsForever(*it), asio::detached);
    }
    const MonoTime began = clock_.Now();
    for (const FaultEvent& it : faults_) {
      while (clock_.Now() < began + it.at) {
        co_await SleepFor(kPollInterval);
      }
      asio::co_spawn(loop_, InjectFault(it), asio::detached);
    }
    while (finished_faults_ < static_cast<int>(faults_.size())) {
      co_await SleepFor(kPollInterval);
    }
    co_await WaitUntilServed();
    loop_.stop();
  }

  Task<void> StopOnTimeout() {
    co_await SleepFor(faults_.back().at + kRecoveryTimeout);
    checker_.Add(Guarantee::kRecovers, waiting_for_);
    loop_.stop();
  }

  /** Waits until every VM serves every route and the newest configuration. */
  Task<void> WaitUntilServed() {
    for (const auto& it : vms_) {
      for (const SoakRoute& route : kRoutes) {
        waiting_for_ = it->addresses().vm + " " + route.prefix;
        int status = 0;
        while (status != 200) {
          status = co_await it->Call(route.prefix, route.is_idempotent);
          co_await SleepFor(kPollInterval);
        }
      }
      waiting_for_ =
          it->addresses().vm + " version " + std::to_string(context_.version);
      int status = 0;
      while (status != 200) {
        status = co_await it->CallVersionRoute(context_.version);
        co_await SleepFor(kPollInterval);
      }
    }
  }

  Task<void> CallForever(SoakVm& vm) {
    while (true) {
      const SoakRoute& route = kRoutes[random_.Below(std::size(kRoutes))];
      (void)co_await vm.Call(route.prefix, route.is_idempotent);
      const std::uint64_t think = kMinThinkMs + random_.Below(kThinkSpanMs);
      co_await SleepFor(std::chrono::milliseconds(think));
    }
  }

  Task<void> ProbeVersionsForever(SoakVm& vm) {
    while (true) {
      const auto back = static_cast<int>(random_.Below(kProbedVersions));
      const int version = context_.version - back;
      if (version > 0) {
        (void)co_await vm.CallVersionRoute(version);
      }
      co_await SleepFor(kVersionProbeInterval);
    }
  }

  Task<void> InjectFault(FaultEvent event) {
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
        co_await vm.InjectStoreLinkFault(event.link, event.length);
        break;
      case FaultKind::kTargetLink:
        co_await vm.InjectTargetLinkFault(event.link, event.length);
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
    finished_faults_ += 1;
  }

  void ChangeConfiguration() {
    context_.version += 1;
    store_.Put(kConfigurationKey, ConfigurationTextFor(context_.version));
  }

  // Declared first and so destroyed last: the other members use it, and
  // coroutines that are still pending on it refer to them.
  asio::io_context loop_{1};
  const SystemClock clock_;
  const std::vector<FaultEvent> faults_;
  SeededRandom random_;
  GuaranteeChecker checker_;
  PlatformStoreStandin store_;
  HttpListener store_listener_;
  HttpConnectionPool connections_;
  SoakContext context_;
  std::vector<std::unique_ptr<SoakVm>> vms_;
  SoakReport report_;
  std::string waiting_for_;
  int finished_faults_ = 0;
};

}  // namespace

std::string SoakReport::Text() const {
  std::string text = "seed " + std::to_string(seed) + ": " +
                     std::to_string(calls) + " calls, " +
                     std::to_string(served) + " served, " +
                     std::to_string(violations.size()) + " violations\n";
  for (const FaultEvent& it : faults) {
    text += "  " + Describe(it) + "\n";
  }
  for (const GuaranteeViolation& it : violations) {
    text += std::string("  VIOLATED ") + ToString(it.guarantee) + ": " +
            it.detail + "\n";
  }
  return text;
}

SoakReport RunSoak(const FaultPlan& plan, std::uint64_t seed,
                   const std::string& folder) {
  SoakRun run(plan, seed, folder);
  return run.Run();
}

}  // namespace cumin::test

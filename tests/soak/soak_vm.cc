#include "soak/soak_vm.h"

#include <csignal>
#include <fstream>
#include <utility>

#include "support/loopback.h"

namespace cumin::test {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(20);
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr int kAnnounceIntervalS = 1;
constexpr Duration kPeerTimeout = std::chrono::seconds(1);
/** As long as the routes let a call last, and half a second. */
constexpr Duration kCallTimeout = std::chrono::milliseconds(5500);
constexpr int kDeadlineMs = 5000;
constexpr int kSlots = 4;
constexpr std::uint64_t kMaxWorkMs = 60;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
/** Of a process that was told to end before it listened to signals. */
constexpr int kEndedBySigterm = 128 + SIGTERM;

std::string InstanceName(int vm, int number) {
  return "i-" + std::to_string(vm) + "-" + std::to_string(number);
}

}  // namespace

SoakVm::SoakVm(SoakWorld& world, int index, const Endpoint& store)
    : world_(world), index_(index), target_listener_(world.executor, *this) {
  const Endpoint any{"127.0.0.1", 0};
  const Endpoint target = target_listener_.Start(any).value();
  target_link_ = std::make_unique<FaultProxy>(world.executor, target);
  store_link_ = std::make_unique<FaultProxy>(world.executor, store);
  const std::string own = UniqueLoopbackAddress(index);
  addresses_.vm = "vm" + std::to_string(index);
  addresses_.region = index % 2 == 0 ? "east" : "west";
  addresses_.failure_domain =
      addresses_.region + "-" + std::to_string(index / 2 % 2);
  addresses_.callers = FreeEndpoint(own);
  addresses_.peers = FreeEndpoint(own);
  addresses_.readiness = FreeEndpoint(own);
  addresses_.announcements = FreeEndpoint(own);
  addresses_.target = target_link_->Start().value();
  addresses_.store = store_link_->Start().value();
  addresses_.service = "svc" + std::to_string(index / 2 % 2);
}

SoakVm::~SoakVm() = default;

void SoakVm::Start() {
  std::ofstream(world_.folder + "/" + addresses_.vm + ".yaml")
      << MakeSettingsText(addresses_, kAnnounceIntervalS);
  StartDaemon();
  asio::co_spawn(world_.executor, KeepRunning(), asio::detached);
  asio::co_spawn(world_.executor, AnnounceForever(), asio::detached);
}

void SoakVm::Kill(Duration down_for) {
  was_told_to_end_ = true;
  if (!was_killed_) {
    world_.judge.OnHarm(index_);
  }
  was_killed_ = true;
  start_at_ = world_.clock.Now() + down_for;
  daemon_->Kill();
}

void SoakVm::Terminate() {
  was_told_to_end_ = true;
  daemon_->Terminate();
}

Task<void> SoakVm::Pause(Duration length) {
  const int boot = boot_;
  world_.judge.OnHarm(index_);
  daemon_->Pause();
  co_await SleepFor(length);
  if (boot == boot_) {
    daemon_->Resume();
  }
  world_.judge.OnHarmEnd(index_, world_.clock.Now());
}

Task<void> SoakVm::SpoilTargetLink(LinkFault fault, Duration length) {
  world_.judge.OnHarm(index_);
  target_link_->SetFault(fault);
  co_await SleepFor(length);
  target_link_->SetFault(LinkFault::kNone);
  world_.judge.OnHarmEnd(index_, world_.clock.Now());
}

Task<void> SoakVm::SpoilStoreLink(LinkFault fault, Duration length) {
  store_link_->SetFault(fault);
  co_await SleepFor(length);
  store_link_->SetFault(LinkFault::kNone);
}

Task<void> SoakVm::ReplaceTarget(Duration gone_for) {
  if (target_leaves_) {
    co_return;
  }
  target_leaves_ = true;
  bool is_known = false;
  while (!is_known) {
    is_known = co_await Announce();
    co_await SleepFor(kPoll);
  }
  world_.judge.OnLeaveAcknowledged(index_, world_.clock.Now());
  while (in_flight_ > 0) {
    co_await SleepFor(kPoll);
  }
  target_is_gone_ = true;
  co_await SleepFor(gone_for);
  target_number_ += 1;
  sequence_ = 0;
  target_is_gone_ = false;
  target_leaves_ = false;
  world_.judge.OnTargetReturns(index_);
}

Task<bool> SoakVm::IsReady() {
  HttpRequest request;
  request.path = "/readyz";
  ExchangeOptions options;
  options.max_idle = Duration::zero();
  const ExchangeResult result = co_await world_.connections.Exchange(
      addresses_.readiness, request, options);
  co_return result.end == ExchangeEnd::kAnswered&& result.response.status ==
      200;
}

Task<int> SoakVm::Call(std::string path, bool may_repeat) {
  const std::string attempt =
      addresses_.vm + "-" + std::to_string(next_attempt_++);
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers.Set("Host", kRouteHost);
  request.headers.Set(world_.names.attempt, attempt);
  request.headers.Set(world_.names.deadline_ms, std::to_string(kDeadlineMs));
  request.body = SoakJudge::RequestBody(attempt);
  ExchangeOptions options;
  options.timeout = kCallTimeout;
  options.max_idle = std::chrono::seconds(10);
  world_.judge.OnSent(attempt, may_repeat, index_, world_.clock.Now());
  const ExchangeResult result = co_await world_.connections.Exchange(
      addresses_.callers, request, options);
  if (result.end == ExchangeEnd::kAnswered) {
    const HttpResponse& response = result.response;
    world_.judge.OnAnswer(attempt, response.status, response.body,
                          response.headers.Has(world_.names.digest));
    co_return response.status;
  }
  const bool is_closed =
      result.end == ExchangeEnd::kBroken || result.end == ExchangeEnd::kGarbled;
  if (is_closed) {
    world_.judge.OnClosed(attempt, world_.clock.Now());
  }
  co_return 0;
}

Task<int> SoakVm::CallVersion(int version) {
  const int boot = boot_;
  const MonoTime sent_at = world_.clock.Now();
  const int status = co_await Call("/v" + std::to_string(version) + "/", true);
  if (status == 200) {
    world_.judge.OnServedVersion(index_, boot, version, sent_at,
                                 world_.clock.Now());
  }
  co_return status;
}

Task<HttpResponse> SoakVm::Handle(HttpRequest request,
                                  CallerWatch& /*caller*/) {
  const std::string attempt = request.headers.Get(world_.names.attempt);
  HttpResponse response;
  response.headers.Set(world_.names.attempt, attempt);
  const std::string meant_for =
      request.headers.Get(world_.names.target_instance);
  if (target_is_gone_ || meant_for != InstanceName(index_, target_number_)) {
    response.status = kMisdirected;
    co_return response;
  }
  if (in_flight_ >= kSlots) {
    response.status = kUnavailable;
    response.headers.Set(world_.names.not_executed, "1");
    co_return response;
  }
  in_flight_ += 1;
  world_.judge.OnRun(attempt, index_, request.body, world_.clock.Now());
  const std::uint64_t work = 1 + world_.random.Below(kMaxWorkMs);
  co_await SleepFor(std::chrono::milliseconds(work));
  in_flight_ -= 1;
  response.headers.Set(world_.names.digest, "whole");
  response.body = SoakJudge::AnswerBody(attempt);
  co_return response;
}

void SoakVm::StartDaemon() {
  boot_ += 1;
  was_told_to_end_ = false;
  daemon_ = ChildProcess::Start({ProgramPath("platform/cumind_platform"),
                                 world_.folder + "/" + addresses_.vm + ".yaml"},
                                world_.folder + "/" + addresses_.vm + "." +
                                    std::to_string(boot_) + ".log")
                .value();
}

Task<void> SoakVm::KeepRunning() {
  while (true) {
    co_await SleepFor(kPoll);
    if (daemon_->IsRunning()) {
      continue;
    }
    JudgeEnd();
    while (world_.clock.Now() < start_at_) {
      co_await SleepFor(kPoll);
    }
    StartDaemon();
    bool is_ready = false;
    while (!is_ready && daemon_->IsRunning()) {
      is_ready = co_await IsReady();
      co_await SleepFor(kPoll);
    }
    if (was_killed_ && !was_told_to_end_) {
      was_killed_ = false;
      world_.judge.OnHarmEnd(index_, world_.clock.Now());
    }
  }
}

void SoakVm::JudgeEnd() {
  const int status = daemon_->WaitForEnd().value_or(-1);
  const bool is_clean = status == 0 || status == kEndedBySigterm;
  const bool is_own_end = !was_told_to_end_ || (!was_killed_ && !is_clean);
  if (is_own_end) {
    world_.judge.Add(Promise::kLives,
                     addresses_.vm + " boot " + std::to_string(boot_) +
                         " ended with status " + std::to_string(status));
  }
}

Task<void> SoakVm::AnnounceForever() {
  while (true) {
    if (!target_is_gone_) {
      (void)co_await Announce();
    }
    co_await SleepFor(kAnnounceInterval);
  }
}

Task<bool> SoakVm::Announce() {
  const std::string instance = InstanceName(index_, target_number_);
  sequence_ += 1;
  AnnouncementText text;
  text.instance = instance;
  text.state = target_leaves_ ? "draining" : "ready";
  text.sequence = sequence_;
  text.slots = kSlots;
  text.start_time_ms = target_number_;
  HttpRequest request;
  request.method = "PUT";
  request.path = AnnouncementPath(instance);
  request.body = MakeAnnouncementText(addresses_, text);
  ExchangeOptions options;
  options.timeout = kPeerTimeout;
  options.max_idle = Duration::zero();
  const ExchangeResult result = co_await world_.connections.Exchange(
      addresses_.announcements, request, options);
  co_return result.end == ExchangeEnd::kAnswered&& result.response.status ==
      200;
}

}  // namespace cumin::test

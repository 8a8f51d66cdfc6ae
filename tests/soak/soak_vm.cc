#include "soak/soak_vm.h"

#include <csignal>
#include <fstream>
#include <utility>

#include "support/loopback.h"

namespace cumin::test {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr int kAnnounceIntervalS = 1;
constexpr Duration kPeerTimeout = std::chrono::seconds(1);
/** Half a second longer than the calls' deadline. */
constexpr Duration kCallTimeout = std::chrono::milliseconds(5500);
constexpr int kDeadlineMs = 5000;
constexpr int kSlots = 4;
constexpr std::uint64_t kMaxWorkMs = 60;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
/** Exit status of a process that SIGTERM ended before its handler was
    installed. */
constexpr int kExitedBySigterm = 128 + SIGTERM;

std::string InstanceName(int vm, int number) {
  return "i-" + std::to_string(vm) + "-" + std::to_string(number);
}

}  // namespace

SoakVm::SoakVm(SoakContext& context, int index, const Endpoint& store)
    : context_(context),
      index_(index),
      target_listener_(context.executor, *this) {
  const Endpoint any{"127.0.0.1", 0};
  const Endpoint target = target_listener_.Start(any).value();
  target_link_ = std::make_unique<FaultProxy>(context.executor, target);
  store_link_ = std::make_unique<FaultProxy>(context.executor, store);
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
  std::ofstream(context_.folder + "/" + addresses_.vm + ".yaml")
      << MakeSettingsText(addresses_, kAnnounceIntervalS);
  StartDaemon();
  asio::co_spawn(context_.executor, SuperviseDaemon(), asio::detached);
  asio::co_spawn(context_.executor, AnnounceForever(), asio::detached);
}

void SoakVm::Kill(Duration down_for) {
  stop_was_requested_ = true;
  if (!was_killed_) {
    context_.checker.OnFaultBegin(index_);
  }
  was_killed_ = true;
  restart_at_ = context_.clock.Now() + down_for;
  daemon_->Kill();
}

void SoakVm::Terminate() {
  stop_was_requested_ = true;
  daemon_->Terminate();
}

Task<void> SoakVm::Pause(Duration length) {
  const int boot = boot_;
  context_.checker.OnFaultBegin(index_);
  daemon_->Pause();
  co_await SleepFor(length);
  if (boot == boot_) {
    daemon_->Resume();
  }
  context_.checker.OnFaultEnd(index_, context_.clock.Now());
}

Task<void> SoakVm::InjectTargetLinkFault(LinkFault fault, Duration length) {
  context_.checker.OnFaultBegin(index_);
  target_link_->SetFault(fault);
  co_await SleepFor(length);
  target_link_->SetFault(LinkFault::kNone);
  context_.checker.OnFaultEnd(index_, context_.clock.Now());
}

Task<void> SoakVm::InjectStoreLinkFault(LinkFault fault, Duration length) {
  store_link_->SetFault(fault);
  co_await SleepFor(length);
  store_link_->SetFault(LinkFault::kNone);
}

Task<void> SoakVm::ReplaceTarget(Duration gone_for) {
  if (target_is_leaving_) {
    co_return;
  }
  target_is_leaving_ = true;
  bool is_acknowledged = false;
  while (!is_acknowledged) {
    is_acknowledged = co_await Announce();
    co_await SleepFor(kPollInterval);
  }
  context_.checker.OnLeaveAcknowledged(index_, context_.clock.Now());
  while (in_flight_ > 0) {
    co_await SleepFor(kPollInterval);
  }
  target_is_gone_ = true;
  co_await SleepFor(gone_for);
  target_number_ += 1;
  sequence_ = 0;
  target_is_gone_ = false;
  target_is_leaving_ = false;
  context_.checker.OnTargetReplaced(index_);
}

Task<bool> SoakVm::IsReady() {
  HttpRequest request;
  request.path = "/readyz";
  ExchangeOptions options;
  options.max_idle = Duration::zero();
  const ExchangeResult result = co_await context_.connections.Exchange(
      addresses_.readiness, request, options);
  co_return result.end == ExchangeEnd::kAnswered&& result.response.status ==
      200;
}

Task<int> SoakVm::Call(std::string path, bool is_idempotent) {
  const std::string attempt =
      addresses_.vm + "-" + std::to_string(next_attempt_++);
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers.Set("Host", kRouteHost);
  request.headers.Set(context_.names.attempt, attempt);
  request.headers.Set(context_.names.deadline_ms, std::to_string(kDeadlineMs));
  request.body = GuaranteeChecker::RequestBody(attempt);
  ExchangeOptions options;
  options.timeout = kCallTimeout;
  options.max_idle = std::chrono::seconds(10);
  context_.checker.OnSent(attempt, is_idempotent, index_, context_.clock.Now());
  const ExchangeResult result = co_await context_.connections.Exchange(
      addresses_.callers, request, options);
  if (result.end == ExchangeEnd::kAnswered) {
    const HttpResponse& response = result.response;
    context_.checker.OnAnswer(attempt, response.status, response.body,
                              response.headers.Has(context_.names.digest));
    co_return response.status;
  }
  const bool is_closed =
      result.end == ExchangeEnd::kBroken || result.end == ExchangeEnd::kGarbled;
  if (is_closed) {
    context_.checker.OnClosed(attempt, context_.clock.Now());
  }
  co_return 0;
}

Task<int> SoakVm::CallVersionRoute(int version) {
  const int boot = boot_;
  const MonoTime sent_at = context_.clock.Now();
  const int status = co_await Call("/v" + std::to_string(version) + "/", true);
  if (status == 200) {
    context_.checker.OnServedVersion(index_, boot, version, sent_at,
                                     context_.clock.Now());
  }
  co_return status;
}

Task<HttpResponse> SoakVm::Handle(HttpRequest request,
                                  CallerWatch& /*caller*/) {
  const std::string attempt = request.headers.Get(context_.names.attempt);
  HttpResponse response;
  response.headers.Set(context_.names.attempt, attempt);
  const std::string addressed_instance =
      request.headers.Get(context_.names.target_instance);
  if (target_is_gone_ ||
      addressed_instance != InstanceName(index_, target_number_)) {
    response.status = kMisdirected;
    co_return response;
  }
  if (in_flight_ >= kSlots) {
    response.status = kUnavailable;
    response.headers.Set(context_.names.not_executed, "1");
    co_return response;
  }
  in_flight_ += 1;
  context_.checker.OnRun(attempt, index_, request.body, context_.clock.Now());
  const std::uint64_t work = 1 + context_.random.Below(kMaxWorkMs);
  co_await SleepFor(std::chrono::milliseconds(work));
  in_flight_ -= 1;
  response.headers.Set(context_.names.digest, "whole");
  response.body = GuaranteeChecker::AnswerBody(attempt);
  co_return response;
}

void SoakVm::StartDaemon() {
  boot_ += 1;
  stop_was_requested_ = false;
  daemon_ =
      ChildProcess::Start({ProgramPath("platform/cumind_platform"),
                           context_.folder + "/" + addresses_.vm + ".yaml"},
                          context_.folder + "/" + addresses_.vm + "." +
                              std::to_string(boot_) + ".log")
          .value();
}

Task<void> SoakVm::SuperviseDaemon() {
  while (true) {
    co_await SleepFor(kPollInterval);
    if (daemon_->IsRunning()) {
      continue;
    }
    CheckExitStatus();
    while (context_.clock.Now() < restart_at_) {
      co_await SleepFor(kPollInterval);
    }
    StartDaemon();
    bool is_ready = false;
    while (!is_ready && daemon_->IsRunning()) {
      is_ready = co_await IsReady();
      co_await SleepFor(kPollInterval);
    }
    if (was_killed_ && !stop_was_requested_) {
      was_killed_ = false;
      context_.checker.OnFaultEnd(index_, context_.clock.Now());
    }
  }
}

void SoakVm::CheckExitStatus() {
  const int status = daemon_->WaitForEnd().value_or(-1);
  const bool is_clean = status == 0 || status == kExitedBySigterm;
  const bool is_unexpected =
      !stop_was_requested_ || (!was_killed_ && !is_clean);
  if (is_unexpected) {
    context_.checker.Add(Guarantee::kNoUnexpectedExit,
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
  text.state = target_is_leaving_ ? "draining" : "ready";
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
  const ExchangeResult result = co_await context_.connections.Exchange(
      addresses_.announcements, request, options);
  co_return result.end == ExchangeEnd::kAnswered&& result.response.status ==
      200;
}

}  // namespace cumin::test

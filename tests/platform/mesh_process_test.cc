#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include "cumin_http/http_connection_pool.h"
#include "cumin_http/http_listener.h"
#include "standins/platform_store/platform_store_standin.h"
#include "standins/platform_store/platform_texts.h"
#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/loopback.h"
#include "support/temp_dir.h"

namespace cumin::platform {

namespace {

constexpr char kAttempt[] = "X-Attempt-Id";
constexpr Duration kCallTimeout = std::chrono::seconds(10);
/** Longer than any test, so that no target is taken for gone. */
constexpr int kAnnounceIntervalS = 1000;

using test::AnnouncementText;
using test::FreeEndpoint;

std::string MakeConfiguration(int version, const std::string& kind) {
  return test::MakeConfigurationText(
      version, {{"r", "/p" + std::to_string(version) + "/", kind, "svc"}});
}

/** Plays a target: answers with the digest and says what it was asked. */
class TargetHandler final : public HttpRequestHandler {
 public:
  Task<HttpResponse> Handle(HttpRequest request,
                            CallerWatch& /*caller*/) override {
    runs += 1;
    last = request;
    if (work > Duration::zero()) {
      co_await SleepFor(work);
    }
    HttpResponse response;
    response.headers.Set(kAttempt, request.headers.Get(kAttempt));
    response.headers.Set("X-Response-Signature", "s");
    response.body = request.path + "|" + request.body;
    co_return response;
  }

  int runs = 0;
  Duration work{0};
  HttpRequest last;
};

/** The way of one VM to the store, which can be closed. */
class StoreWay final : public HttpRequestHandler {
 public:
  explicit StoreWay(HttpRequestHandler& store) : store_(store) {}

  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override {
    const bool is_watch = request.path == "/kv-watch";
    HttpResponse refusal;
    refusal.status = 503;
    if (is_closed) {
      co_return refusal;
    }
    watches += is_watch ? 1 : 0;
    HttpResponse answer = co_await store_.Handle(std::move(request), caller);
    watches -= is_watch ? 1 : 0;
    if (is_closed) {
      co_return refusal;
    }
    co_return answer;
  }

  bool is_closed = false;
  /** Watches under way. */
  int watches = 0;

 private:
  HttpRequestHandler& store_;
};

/** One VM: a target played here and the daemon's process. */
struct Vm {
  test::VmAddresses addresses;
  std::unique_ptr<StoreWay> store_way;
  std::unique_ptr<HttpListener> store_listener;
  TargetHandler handler;
  std::unique_ptr<HttpListener> listener;
  std::unique_ptr<test::ChildProcess> daemon;
};

class MeshProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MeshProcessTest);
  CPPUNIT_TEST(TestCallReachesTheTargetBesideAnotherDaemon);
  CPPUNIT_TEST(TestNewVersionReachesEveryDaemonAndAnInvalidOneNone);
  CPPUNIT_TEST(TestNewVersionPassesWatchersThatTheStoreRefuses);
  CPPUNIT_TEST(TestNewVersionComesThroughTheOtherRegion);
  CPPUNIT_TEST(TestLeavingTargetGetsNoWorkOnceAcknowledged);
  CPPUNIT_TEST(TestEndedDaemonAnswersWhatItHasRead);
  CPPUNIT_TEST(TestLapsedEntryComesBack);
  CPPUNIT_TEST(TestDaemonThatReturnsWithoutTheStoreHearsOfItsPeers);
  CPPUNIT_TEST(TestDaemonThatIsGreetedStillAsksForAllMembers);
  CPPUNIT_TEST(TestVmThatTookOverAnAddressIsNotTakenForTheOldOne);
  CPPUNIT_TEST(TestBadSettingsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<test::LoopThread>();
    store_ = std::make_unique<test::PlatformStoreStandin>();
    pool_ = std::make_unique<HttpConnectionPool>(loop_->executor());
    SetConfiguration(MakeConfiguration(1, "idempotent"));
  }

  void tearDown() override {
    loop_->Stop();
    vms_.clear();
    pool_.reset();
    loop_.reset();
  }

  void TestCallReachesTheTargetBesideAnotherDaemon() {
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    const HttpResponse answer = AwaitAnswer(*vms_[1], "/p1/x?q=1", 200);
    CPPUNIT_ASSERT_EQUAL(std::string("/p1/x|body"), answer.body);
    const HttpHeaders& seen = vms_[0]->handler.last.headers;
    CPPUNIT_ASSERT_EQUAL(std::string("q=1"), vms_[0]->handler.last.query);
    CPPUNIT_ASSERT_EQUAL(std::string("caller"), seen.Get("X-Caller-Service"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-vm0"), seen.Get("X-Target-Instance"));
    const int left = std::stoi(seen.Get("X-Deadline-Ms"));
    CPPUNIT_ASSERT(left > 0 && left <= 5000);
    CPPUNIT_ASSERT(!seen.Has("Cumin-Hop"));
    CPPUNIT_ASSERT_EQUAL(404, Call(*vms_[1], "/none/").status);
    CPPUNIT_ASSERT(
        Metric(*vms_[1],
               "cumin_latency_seconds_count{hop=\"ingress\",route=\"r\"}") >=
        1);
    CPPUNIT_ASSERT(
        Metric(*vms_[0],
               "cumin_latency_seconds_count{hop=\"target\",route=\"r\"}") >= 1);
    CPPUNIT_ASSERT(Metric(*vms_[0], "cumin_config_version") == 1);
  }

  void TestNewVersionReachesEveryDaemonAndAnInvalidOneNone() {
    StartVm("svc");
    StartVm("svc");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[0], "/p1/", 200);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    SetConfiguration(MakeConfiguration(7, "idempotent"));
    AwaitAnswer(*vms_[0], "/p7/", 200);
    AwaitAnswer(*vms_[1], "/p7/", 200);
    SetConfiguration(MakeConfiguration(9, "sometimes"));
    SetConfiguration(MakeConfiguration(3, "idempotent"));
    SetConfiguration(MakeConfiguration(11, "idempotent"));
    for (const auto& it : vms_) {
      AwaitAnswer(*it, "/p11/", 200);
      CPPUNIT_ASSERT_EQUAL(404, Call(*it, "/p3/").status);
      CPPUNIT_ASSERT_EQUAL(404, Call(*it, "/p9/").status);
    }
  }

  void TestNewVersionPassesWatchersThatTheStoreRefuses() {
    for (int i = 0; i < 4; ++i) {
      StartVm("svc");
    }
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[3], "/p1/", 200);
    AwaitWatches();
    loop_->Post([this] {
      for (const auto& it : vms_) {
        it->store_way->is_closed = it->store_way->watches > 0;
      }
    });
    SetConfiguration(MakeConfiguration(7, "idempotent"));
    for (const auto& it : vms_) {
      AwaitAnswer(*it, "/p7/", 200);
    }
  }

  void TestNewVersionComesThroughTheOtherRegion() {
    StartVm("svc");
    StartVm("svc");
    StartVm("svc", std::nullopt, "far");
    StartVm("svc", std::nullopt, "far");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[3], "/p1/", 200);
    AwaitWatches();
    loop_->Post([this] {
      vms_[2]->store_way->is_closed = true;
      vms_[3]->store_way->is_closed = true;
    });
    SetConfiguration(MakeConfiguration(7, "idempotent"));
    for (const auto& it : vms_) {
      AwaitAnswer(*it, "/p7/", 200);
    }
  }

  void TestLeavingTargetGetsNoWorkOnceAcknowledged() {
    StartVm("svc");
    StartVm("svc");
    Announce(*vms_[0], "ready", 1);
    Announce(*vms_[1], "ready", 1);
    AwaitAnswer(*vms_[0], "/p1/", 200);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    CPPUNIT_ASSERT_EQUAL(200, Announce(*vms_[0], "draining", 2));
    const int before = vms_[0]->handler.runs;
    for (int i = 0; i < 20; ++i) {
      // The other target takes all of it, also while news of the leave spreads.
      AwaitAnswer(*vms_[0], "/p1/", 200);
      AwaitAnswer(*vms_[1], "/p1/", 200);
    }
    CPPUNIT_ASSERT_EQUAL(before, vms_[0]->handler.runs);
  }

  void TestEndedDaemonAnswersWhatItHasRead() {
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    loop_->Post([this] {
      vms_[0]->handler.work = std::chrono::milliseconds(800);
      vms_[0]->handler.runs = 0;
    });
    std::thread end([this] {
      while (vms_[0]->handler.runs == 0) {
        std::this_thread::yield();
      }
      vms_[1]->daemon->Terminate();
    });
    CPPUNIT_ASSERT_EQUAL(200, Call(*vms_[1], "/p1/").status);
    end.join();
    CPPUNIT_ASSERT_EQUAL(0, vms_[1]->daemon->WaitForEnd().value_or(-1));
  }

  void TestLapsedEntryComesBack() {
    StartVm("svc");
    const std::string key = "cumin/contacts/vm0";
    AwaitKey(key);
    loop_->Post([this] { store_->EndLeases(); });
    AwaitKey(key);
  }

  void TestDaemonThatReturnsWithoutTheStoreHearsOfItsPeers() {
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    loop_->Post([this] { store_->is_down = true; });
    for (const bool kills : {true, false}) {
      if (kills) {
        vms_[1]->daemon->Kill();
      } else {
        vms_[1]->daemon->Terminate();
      }
      vms_[1]->daemon->WaitForEnd();
      StartDaemon(*vms_[1]);
      AwaitReady(*vms_[1]);
      AwaitAnswer(*vms_[1], "/p1/", 200);
    }
  }

  void TestDaemonThatIsGreetedStillAsksForAllMembers() {
    for (int i = 0; i < 3; ++i) {
      StartVm("svc");
    }
    Vm& returning = *vms_[2];
    while (Metric(*vms_[0], "cumin_members_live") != 3) {
      Pause();
    }
    returning.daemon->Kill();
    returning.daemon->WaitForEnd();
    loop_->Post([&] { returning.store_way->is_closed = true; });
    StartDaemon(returning);
    // Greeted by the others, it is no longer alone when the store answers.
    while (Metric(returning, "cumin_members_live") < 2) {
      Pause();
    }
    loop_->Post([&] { returning.store_way->is_closed = false; });
    while (Metric(returning,
                  "cumin_store_calls_total{kind=\"list\",result=\"ok\"}") < 1) {
      Pause();
    }
  }

  void TestVmThatTookOverAnAddressIsNotTakenForTheOldOne() {
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    vms_[0]->daemon->Kill();
    vms_[0]->daemon->WaitForEnd();
    // A VM of another service gets the same address.
    StartVm("other", vms_[0]->addresses.peers);
    for (const std::size_t i : {1, 2}) {
      while (Metric(*vms_[i], "cumin_members_live") != 2) {
        Pause();
      }
    }
    CPPUNIT_ASSERT_EQUAL(503, Call(*vms_[1], "/p1/").status);
  }

  void TestBadSettingsAreRefused() {
    const std::string path = dir_.File("bad.yaml");
    std::ofstream(path) << "vm: a\nregion: r\nfailure_domain: z\n"
                           "callers: nowhere\n";
    const auto process =
        test::ChildProcess::Start(
            {test::ProgramPath("platform/cumind_platform"), path},
            dir_.File("bad.out"))
            .value();
    CPPUNIT_ASSERT_EQUAL(2, process->WaitForEnd().value_or(-1));
    CPPUNIT_ASSERT(process->ErrorOutput().find("callers") != std::string::npos);
  }

 private:
  void SetConfiguration(const std::string& text) {
    loop_->Post([&] { store_->Put("op/config", text); });
  }

  /** @returns a number of the metrics page */
  int Metric(const Vm& vm, const std::string& name) {
    HttpRequest request;
    request.path = "/-/metrics";
    const std::string text = "\n" + Send(vm.addresses.peers, request).body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::stoi(text.substr(at + name.size() + 2));
  }

  void StartVm(const std::string& service,
               const std::optional<Endpoint>& peers = std::nullopt,
               const std::string& region = "r") {
    auto vm = std::make_unique<Vm>();
    test::VmAddresses& addresses = vm->addresses;
    addresses.vm = "vm" + std::to_string(vms_.size());
    addresses.region = region;
    addresses.failure_domain = "z";
    const std::string own = test::OwnAddress(static_cast<int>(vms_.size()));
    addresses.callers = FreeEndpoint(own);
    addresses.peers = peers ? *peers : FreeEndpoint(own);
    addresses.readiness = FreeEndpoint(own);
    addresses.announcements = FreeEndpoint(own);
    addresses.service = service;
    vm->listener =
        std::make_unique<HttpListener>(loop_->executor(), vm->handler);
    vm->store_way = std::make_unique<StoreWay>(*store_);
    vm->store_listener =
        std::make_unique<HttpListener>(loop_->executor(), *vm->store_way);
    loop_->Post([&] {
      const Endpoint any{"127.0.0.1", 0};
      addresses.target = vm->listener->Start(any).value();
      addresses.store = vm->store_listener->Start(any).value();
    });
    std::ofstream(dir_.File(addresses.vm + ".yaml"))
        << test::MakeSettingsText(addresses, kAnnounceIntervalS);
    StartDaemon(*vm);
    vms_.push_back(std::move(vm));
    AwaitReady(*vms_.back());
  }

  void StartDaemon(Vm& vm) {
    vm.daemon = test::ChildProcess::Start(
                    {test::ProgramPath("platform/cumind_platform"),
                     dir_.File(vm.addresses.vm + ".yaml")},
                    dir_.File(vm.addresses.vm + ".out"))
                    .value();
  }

  HttpResponse Send(const Endpoint& to, const HttpRequest& request) {
    ExchangeOptions options;
    options.timeout = kCallTimeout;
    options.max_idle = Duration::zero();
    ExchangeResult result = loop_->Run(pool_->Exchange(to, request, options));
    if (result.end != ExchangeEnd::kAnswered) {
      result.response.status = 0;
    }
    return result.response;
  }

  HttpResponse Call(const Vm& vm, const std::string& target) {
    HttpRequest request;
    request.method = "POST";
    request.path = target.substr(0, target.find('?'));
    request.query =
        target.substr(std::min(target.size(), request.path.size() + 1));
    request.headers.Set("Host", "shop.example");
    request.headers.Set(kAttempt, "attempt-" + std::to_string(next_attempt_++));
    request.headers.Set("X-Deadline-Ms", "5000");
    request.headers.Set("X-Caller-Service", "forged");
    request.body = "body";
    return Send(vm.addresses.callers, request);
  }

  int Announce(const Vm& vm, const std::string& state, int sequence) {
    const std::string instance = "i-" + vm.addresses.vm;
    HttpRequest request;
    request.method = "PUT";
    request.path = test::AnnouncementPath(instance);
    request.body = test::MakeAnnouncementText(
        vm.addresses, AnnouncementText{instance, state, sequence});
    return Send(vm.addresses.announcements, request).status;
  }

  /** Calls until the status comes; before news has spread, others may. */
  HttpResponse AwaitAnswer(const Vm& vm, const std::string& target,
                           int status) {
    HttpResponse answer = Call(vm, target);
    while (answer.status != status) {
      Pause();
      answer = Call(vm, target);
    }
    return answer;
  }

  void AwaitReady(const Vm& vm) {
    HttpRequest request;
    request.path = "/readyz";
    while (Send(vm.addresses.readiness, request).status != 200) {
      Pause();
    }
  }

  /** Waits until the two watchers of each region hold a watch and nobody else
      does; daemons that started before they knew the others hold theirs until
      it runs out. */
  void AwaitWatches() {
    std::set<std::string> regions;
    for (const auto& it : vms_) {
      regions.insert(it->addresses.region);
    }
    const int expected = 2 * static_cast<int>(regions.size());
    int watches = 0;
    while (watches != expected) {
      Pause();
      loop_->Post([&] {
        watches = 0;
        for (const auto& it : vms_) {
          watches += it->store_way->watches > 0 ? 1 : 0;
        }
      });
    }
  }

  void AwaitKey(const std::string& key) {
    bool has_key = false;
    while (!has_key) {
      Pause();
      loop_->Post([&] { has_key = store_->Has(key); });
    }
  }

  static void Pause() {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  test::TempDir dir_;
  std::unique_ptr<test::LoopThread> loop_;
  std::unique_ptr<test::PlatformStoreStandin> store_;
  std::unique_ptr<HttpConnectionPool> pool_;
  std::vector<std::unique_ptr<Vm>> vms_;
  int next_attempt_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshProcessTest);

}  // namespace

}  // namespace cumin::platform

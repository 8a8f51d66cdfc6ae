#include "cumin_daemon/ingress.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include "support/loop_thread.h"

namespace cumin {

namespace {

constexpr std::uint64_t kInForce = 4;

RouteDocument MakeDocument() {
  Route route;
  route.name = "orders";
  route.host = "shop.example";
  route.prefix = "/orders/";
  route.timeout = std::chrono::seconds(1);
  route.target_latency = std::chrono::milliseconds(100);
  route.services = {WeightedService{ServiceId("svc"), 1}};
  RouteDocument document;
  document.version = kInForce;
  document.services = {ServiceId("svc")};
  document.routes = {route};
  return document;
}

class IngressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IngressTest);
  CPPUNIT_TEST(TestUnknownRouteIsRetriableWhileNewerVersionIsPending);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    log_fd_ = open("/dev/null", O_WRONLY | O_CLOEXEC);
    loop_ = std::make_unique<test::LoopThread>();
    context_ = std::make_unique<DaemonContext>(
        MeshSettings{}, HeaderNames{}, loop_->executor(), clock_, 1, log_fd_);
    target_ = std::make_unique<TargetDispatcher>(*context_);
    peers_ = std::make_unique<PeerClient>(*context_);
    fleet_ = std::make_unique<FleetAgent>(*context_, *peers_);
    inbound_ = std::make_unique<InboundAgent>(*context_, *fleet_);
    ingress_ =
        std::make_unique<Ingress>(*context_, *target_, *peers_, *inbound_);
    context_->routes = RouteTable::Make(MakeDocument(), "test").value();
    context_->ready = true;
  }

  void tearDown() override {
    loop_->Stop();
    ingress_.reset();
    inbound_.reset();
    fleet_.reset();
    peers_.reset();
    target_.reset();
    context_.reset();
    loop_.reset();
    close(log_fd_);
  }

  // Regression test for issue 17: a daemon that knew of a newer version, but
  // had not received it, answered 404 for a route that this version adds.
  void TestUnknownRouteIsRetriableWhileNewerVersionIsPending() {
    context_->newest_known_version = kInForce;
    CPPUNIT_ASSERT_EQUAL(404, Call("/added/").status);
    context_->newest_known_version = kInForce + 1;
    const HttpResponse behind = Call("/added/");
    CPPUNIT_ASSERT_EQUAL(503, behind.status);
    CPPUNIT_ASSERT(behind.headers.Has("Retry-After"));
  }

 private:
  HttpResponse Call(const std::string& path) {
    HttpRequest request;
    request.path = path;
    request.headers.Set("Host", "shop.example");
    CallerWatch caller;
    return loop_->Run(ingress_->Handle(std::move(request), caller));
  }

  int log_fd_ = -1;
  SystemClock clock_;
  std::unique_ptr<test::LoopThread> loop_;
  std::unique_ptr<DaemonContext> context_;
  std::unique_ptr<TargetDispatcher> target_;
  std::unique_ptr<PeerClient> peers_;
  std::unique_ptr<FleetAgent> fleet_;
  std::unique_ptr<InboundAgent> inbound_;
  std::unique_ptr<Ingress> ingress_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IngressTest);

}  // namespace

}  // namespace cumin

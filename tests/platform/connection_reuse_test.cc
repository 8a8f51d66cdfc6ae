#include <string>

#include "platform/mesh_fixture.h"

namespace cumin::platform {

namespace {

constexpr int kCalls = 20;
/** Targets may drop connections that were idle for this long. */
constexpr Duration kIdleTime = std::chrono::milliseconds(200);

/** Connections between a daemon and its target. */
class ConnectionReuseTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(ConnectionReuseTest);
  CPPUNIT_TEST(TestAtMostOnceCallsReuseOnlyRecentConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    MeshFixture::setUp();
    SetConfiguration(test::MakeConfigurationText(
        1, {{"order", "/order/", "non_idempotent", "svc"}}));
    StartVm("svc");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[0], "/order/", 200);
  }

  // Load: a target that serves many at-most-once calls a second, each of which
  // opened a connection.
  void TestAtMostOnceCallsReuseOnlyRecentConnections() {
    const int before = Opened();
    for (int i = 0; i < kCalls; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call(*vms_[0], "/order/").status);
    }
    CPPUNIT_ASSERT(Opened() - before < kCalls);
    const int runs_before = Runs();
    for (int i = 0; i < 3; ++i) {
      std::this_thread::sleep_for(kIdleTime);
      const int opened = Opened();
      CPPUNIT_ASSERT_EQUAL(200, Call(*vms_[0], "/order/").status);
      CPPUNIT_ASSERT(Opened() > opened);
    }
    CPPUNIT_ASSERT_EQUAL(runs_before + 3, Runs());
  }

 private:
  int Opened() { return Metric(*vms_[0], "cumin_connections_opened_total"); }

  int Runs() {
    int runs = 0;
    loop_->Post([&] { runs = vms_[0]->handler.runs; });
    return runs;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionReuseTest);

}  // namespace

}  // namespace cumin::platform

#include "cumin_proxy/target_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <opentracing/noop.h>

#include "support/raw_server.h"

namespace cumin {

namespace {

constexpr std::uint64_t kSeed = 20261205;
constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n"
    "ok";
constexpr char kEarlierRefusal[] =
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nCumin-Verdict: not-run\r\n\r\n";

Call MakeCall() {
  Call call;
  call.service = ServiceId("desk");
  call.repeatability = Repeatability::kIdempotent;
  call.request.path = "/items/a";
  call.deadline = SystemClock().Now() + std::chrono::seconds(10);
  return call;
}

class TargetClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetClientTest);
  CPPUNIT_TEST(TestEarlierRefusalWrittenOnceMoreIsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a call that is taken as not run, and sent to a second
  // target, because the target wrote an earlier refusal once more on a kept
  // connection.
  void TestEarlierRefusalWrittenOnceMoreIsNoAnswer() {
    const test::RawServer server(std::string(kAnswer) + kEarlierRefusal);
    const SystemClock clock;
    DaemonSettings settings;
    settings.vm = VmId("vm-1");
    Blackboard board(settings, clock, kSeed);
    board.tracer = opentracing::MakeNoopTracer();
    TargetClient client(board);
    const AnnouncedTarget target{ServiceId("desk"), server.endpoint(), 1,
                                 TargetState::kReady};
    for (int i = 0; i < 2; ++i) {
      const CallResult result = client.Execute(MakeCall(), target);
      CPPUNIT_ASSERT_EQUAL(Verdict::kRan, result.verdict);
      CPPUNIT_ASSERT_EQUAL(200, result.response.status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
    }
    CPPUNIT_ASSERT_EQUAL(2, server.requests());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetClientTest);

}  // namespace

}  // namespace cumin

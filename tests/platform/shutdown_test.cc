#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "platform/mesh_fixture.h"

namespace cumin::platform {

namespace {

using asio::ip::tcp;

/** Times after SIGTERM; the grace period is 6 s, and no new calls are accepted
    after 2.3 s. */
constexpr Duration kLateInGrace = std::chrono::milliseconds(3300);
constexpr Duration kEarlyInGrace = std::chrono::milliseconds(1800);
/** Ends after the grace period. */
constexpr Duration kLongWork = std::chrono::milliseconds(4000);
constexpr Duration kShortWork = std::chrono::milliseconds(300);

/** A caller that sends its request in two parts. */
class SlowCaller {
 public:
  explicit SlowCaller(const Endpoint& to) : socket_(loop_) {
    socket_.connect({asio::ip::make_address(to.address), to.port});
  }

  /** Sends all but the last byte of the request. */
  void Begin(const std::string& path, const std::string& attempt,
             int deadline_ms) {
    Write("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " +
          attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
          "\r\nContent-Length: 4\r\n\r\nbod");
  }

  void Finish() { Write("y"); }

  /** @returns the status of the answer, or 0 if the connection ended before */
  int Status() {
    asio::streambuf buf;
    boost::system::error_code ec;
    asio::read_until(socket_, buf, "\r\n", ec);
    std::istream in(&buf);
    std::string protocol;
    int status = 0;
    in >> protocol >> status;
    return status;
  }

 private:
  void Write(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }

  asio::io_context loop_;
  tcp::socket socket_;
};

class ShutdownTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(TestRequestTooLongForTheGracePeriodIsNotRun);
  CPPUNIT_TEST(TestRequestThatFitsTheGracePeriodIsAnswered);
  CPPUNIT_TEST(TestRequestThatOutlastsTheGracePeriodGetsAnAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is read late in the grace period, passed on,
  // and cut without an answer when the process ends.
  void TestRequestTooLongForTheGracePeriodIsNotRun() {
    StartMesh(kLongWork);
    SlowCaller caller(vms_[1]->addresses.callers);
    caller.Begin("/p1/late", "late-1", 5000);
    TerminateAndWait();
    caller.Finish();
    CPPUNIT_ASSERT_EQUAL(503, caller.Status());
    CPPUNIT_ASSERT_EQUAL(0, vms_[1]->daemon->WaitForEnd().value_or(-1));
    CPPUNIT_ASSERT_EQUAL(0, Runs());
  }

  void TestRequestThatFitsTheGracePeriodIsAnswered() {
    StartMesh(kShortWork);
    SlowCaller caller(vms_[1]->addresses.callers);
    caller.Begin("/p1/late", "late-2", 1500);
    TerminateAndWait();
    caller.Finish();
    CPPUNIT_ASSERT_EQUAL(200, caller.Status());
    CPPUNIT_ASSERT_EQUAL(0, vms_[1]->daemon->WaitForEnd().value_or(-1));
    CPPUNIT_ASSERT_EQUAL(1, Runs());
  }

  // Taken before other daemons could know of the shutdown.
  void TestRequestThatOutlastsTheGracePeriodGetsAnAnswer() {
    StartMesh(std::chrono::seconds(8));
    SlowCaller caller(vms_[1]->addresses.callers);
    caller.Begin("/p1/long", "long-1", 10000);
    vms_[1]->daemon->Terminate();
    std::this_thread::sleep_for(kEarlyInGrace);
    caller.Finish();
    const int status = caller.Status();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                           status == 502 || status == 504);
    CPPUNIT_ASSERT_EQUAL(0, vms_[1]->daemon->WaitForEnd().value_or(-1));
  }

 private:
  void StartMesh(Duration work) {
    SetConfiguration(MakeConfiguration(1, "non_idempotent"));
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    loop_->Post([this, work] {
      vms_[0]->handler.work = work;
      vms_[0]->handler.runs = 0;
    });
  }

  void TerminateAndWait() {
    vms_[1]->daemon->Terminate();
    std::this_thread::sleep_for(kLateInGrace);
  }

  int Runs() {
    int runs = 0;
    loop_->Post([&] { runs = vms_[0]->handler.runs; });
    return runs;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

}  // namespace

}  // namespace cumin::platform

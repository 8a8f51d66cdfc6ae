#include <memory>
#include <string>
#include <thread>

#include "platform/mesh_fixture.h"
#include "platform/scripted_target.h"

namespace cumin::platform {

namespace {

/** Targets whose answers are lost, break off, or come twice. */
class FaultyAnswerTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(FaultyAnswerTest);
  CPPUNIT_TEST(TestLateCopyOfAnswerIsNotTheNextAnswer);
  CPPUNIT_TEST(TestAnswerThatBreaksOffIsNoSuccess);
  CPPUNIT_TEST(TestCallWithLostAnswerRunsOnce);
  CPPUNIT_TEST(TestStatusThatIsNoneIsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    MeshFixture::setUp();
    SetConfiguration(test::MakeConfigurationText(
        1, {{"order", "/order/", "non_idempotent", "svc"}}));
    target_ = std::make_unique<ScriptedTarget>(loop_->executor());
    loop_->Post([&] { target_endpoint_ = target_->Start(); });
    StartVm("svc");
    target_endpoint_.reset();
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[1], "/order/", 200);
  }

  void tearDown() override {
    loop_->Stop();
    target_.reset();
    MeshFixture::tearDown();
  }

  // Operators' report: a server sent a second copy of an answer, late, on a
  // connection that was in use again; the next caller got it.
  void TestLateCopyOfAnswerIsNotTheNextAnswer() {
    constexpr int kRounds = 20;
    for (int i = 0; i < kRounds; ++i) {
      CheckOwnAnswer("/order/copy");
      // The copy arrives before, while or after the next call uses the
      // connection.
      std::this_thread::sleep_for(std::chrono::milliseconds(i * 2));
      CheckOwnAnswer("/order/");
    }
  }

  void TestAnswerThatBreaksOffIsNoSuccess() {
    for (const char* const it : {"cut-header", "cut-body", "cut-chunk"}) {
      const int runs = target_->runs();
      const HttpResponse answer = Call(*vms_[1], std::string("/order/") + it);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 502, answer.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, runs + 1, target_->runs());
    }
  }

  // Operators' report: after an answer was lost, work that had run was run
  // again, or its caller was told that it had not run.
  void TestCallWithLostAnswerRunsOnce() {
    for (const std::size_t ingress : {0, 1}) {
      const int runs = target_->runs();
      CPPUNIT_ASSERT_EQUAL(502, Call(*vms_[ingress], "/order/lost").status);
      CPPUNIT_ASSERT_EQUAL(runs + 1, target_->runs());
    }
  }

  // Seen on other systems: a target in trouble sent an answer whose status was
  // 000, and the caller got it as an answer.
  void TestStatusThatIsNoneIsNoAnswer() {
    for (const char* const it :
         {"status-000", "status-099", "status-20", "status-2000", "status-600",
          "status-999", "status-101", "no-status", "no-version"}) {
      const int runs = target_->runs();
      const HttpResponse answer = Call(*vms_[1], std::string("/order/") + it);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 502, answer.status);
      CPPUNIT_ASSERT_MESSAGE(it, !answer.headers.Has("X-Response-Signature"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, runs + 1, target_->runs());
      CheckOwnAnswer("/order/");
    }
  }

 private:
  void CheckOwnAnswer(const std::string& path) {
    const std::string attempt = "attempt-" + std::to_string(next_attempt_);
    const HttpResponse answer = Call(*vms_[1], path);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(attempt, answer.headers.Get(kAttempt));
    CPPUNIT_ASSERT_EQUAL(ScriptedTarget::kAnswerBytes, answer.body.size());
    CPPUNIT_ASSERT_EQUAL(attempt, answer.body.substr(0, attempt.size()));
  }

  std::unique_ptr<ScriptedTarget> target_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyAnswerTest);

}  // namespace

}  // namespace cumin::platform

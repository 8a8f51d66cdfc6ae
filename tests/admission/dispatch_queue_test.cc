#include "cumin_admission/dispatch_queue.h"

#include <deque>
#include <memory>

#include "support/property.h"

namespace cumin {

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

/** Records the outcome of waiting calls. */
struct Recorder final : DispatchQueue::Listener {
  void OnStart(DispatchCall& call) override { started.push_back(&call); }
  void OnRefuse(DispatchCall& call, const Refusal& refusal) override {
    refused.push_back(&call);
    verdicts.push_back(refusal.verdict);
  }

  std::vector<DispatchCall*> started;
  std::vector<DispatchCall*> refused;
  std::vector<Verdict> verdicts;
};

std::unique_ptr<DispatchCall> MakeCall(int priority, MonoTime deadline) {
  auto call = std::make_unique<DispatchCall>();
  call->operation = "op";
  call->priority = priority;
  call->deadline = deadline;
  call->wanted_by = deadline;
  return call;
}

/** Outcome of ten seconds of load on a target where each call takes 100 ms. */
struct OverloadResult {
  int ended_in_time = 0;
  int ended_late = 0;
  int refused = 0;
};

OverloadResult RunOverload(int calls_per_s, Duration timeout) {
  Recorder recorder;
  // Declared before the queue, because calls must outlive it.
  std::vector<std::unique_ptr<DispatchCall>> calls;
  DispatchQueue queue(recorder);
  MonoTime now{std::chrono::hours(1)};
  queue.SetSlots(6, now);
  std::deque<std::pair<MonoTime, DispatchCall*>> running;
  OverloadResult result;
  const MonoTime end = now + std::chrono::seconds(10);
  MonoTime next_arrival = now;
  std::size_t seen = 0;
  while (now < end) {
    now += kMs;
    while (!running.empty() && running.front().first <= now) {
      DispatchCall& call = *running.front().second;
      running.pop_front();
      (now <= call.deadline ? result.ended_in_time : result.ended_late) += 1;
      queue.Finish(call, now, true);
    }
    if (now >= next_arrival) {
      next_arrival += std::chrono::microseconds(1000000 / calls_per_s);
      calls.push_back(MakeCall(1, now + timeout));
      Refusal refusal;
      const DispatchDecision decision =
          queue.Offer(*calls.back(), now, &refusal);
      if (decision == DispatchDecision::kStarted) {
        running.emplace_back(now + 100 * kMs, calls.back().get());
      } else if (decision == DispatchDecision::kRefused) {
        result.refused += 1;
      }
    }
    for (; seen < recorder.started.size(); ++seen) {
      running.emplace_back(now + 100 * kMs, recorder.started[seen]);
    }
  }
  result.refused += static_cast<int>(recorder.refused.size());
  return result;
}

class DispatchQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchQueueTest);
  CPPUNIT_TEST(TestUrgentCallsStartFirst);
  CPPUNIT_TEST(TestSlotsAreNeverExceeded);
  CPPUNIT_TEST(TestOverloadedTargetStaysBusyAndAnswersInTime);
  CPPUNIT_TEST(TestCallThatCannotMeetItsDeadlineIsRefusedAtOnce);
  CPPUNIT_TEST(TestExpectedWaitIncludesCallsOfEqualPriority);
  CPPUNIT_TEST(TestLeavingTargetRefusesWaitingCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestUrgentCallsStartFirst() {
    Recorder recorder;
    DispatchQueue queue(recorder);
    const MonoTime now{std::chrono::hours(1)};
    queue.SetSlots(1, now);
    const MonoTime late = now + std::chrono::hours(1);
    const auto running = MakeCall(2, late);
    const auto bulk = MakeCall(2, late);
    const auto urgent = MakeCall(0, late);
    Refusal refusal;
    CPPUNIT_ASSERT(DispatchDecision::kStarted ==
                   queue.Offer(*running, now, &refusal));
    CPPUNIT_ASSERT(DispatchDecision::kQueued ==
                   queue.Offer(*bulk, now, &refusal));
    CPPUNIT_ASSERT(DispatchDecision::kQueued ==
                   queue.Offer(*urgent, now, &refusal));
    queue.Finish(*running, now, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorder.started.size());
    CPPUNIT_ASSERT(recorder.started[0] == urgent.get());
    queue.RefuseAll(RefusalReason::kShed, "end");
  }

  void TestSlotsAreNeverExceeded() {
    test::CheckProperty("slots are never exceeded", [] {
      Recorder recorder;
      std::vector<std::unique_ptr<DispatchCall>> calls;
      DispatchQueue queue(recorder);
      MonoTime now{std::chrono::hours(1)};
      const int slots = *rc::gen::inRange(1, 5);
      queue.SetSlots(slots, now);
      std::vector<DispatchCall*> running;
      std::size_t seen = 0;
      for (int i = 0; i < 100; ++i) {
        now += kMs * *rc::gen::inRange(0, 50);
        if (*rc::gen::arbitrary<bool>()) {
          calls.push_back(MakeCall(*rc::gen::inRange(0, 3),
                                   now + kMs * *rc::gen::inRange(1, 900)));
          Refusal refusal;
          if (queue.Offer(*calls.back(), now, &refusal) ==
              DispatchDecision::kStarted) {
            running.push_back(calls.back().get());
          }
        } else if (!running.empty()) {
          DispatchCall* const call = running.back();
          running.pop_back();
          queue.Finish(*call, now, true);
        }
        queue.Expire(now);
        for (; seen < recorder.started.size(); ++seen) {
          running.push_back(recorder.started[seen]);
        }
        RC_ASSERT(queue.in_flight() <= slots);
        RC_ASSERT(queue.in_flight() == static_cast<int>(running.size()));
        // Calls wait only while every slot is in use.
        RC_ASSERT(queue.queued() == 0 || queue.in_flight() == slots);
      }
      for (const Verdict it : recorder.verdicts) {
        RC_ASSERT(it == Verdict::kNotRun);
      }
      queue.RefuseAll(RefusalReason::kShed, "end");
    });
  }

  void TestOverloadedTargetStaysBusyAndAnswersInTime() {
    // Six slots at 100 ms per call serve 60 calls/s; 120 calls/s arrive.
    const OverloadResult result =
        RunOverload(120, std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, result.ended_late);
    CPPUNIT_ASSERT(result.ended_in_time > 540);
    CPPUNIT_ASSERT(result.refused > 500);
  }

  void TestCallThatCannotMeetItsDeadlineIsRefusedAtOnce() {
    Recorder recorder;
    DispatchQueue queue(recorder);
    MonoTime now{std::chrono::hours(1)};
    queue.SetSlots(1, now);
    const auto first = MakeCall(1, now + std::chrono::hours(1));
    Refusal refusal;
    queue.Offer(*first, now, &refusal);
    now += 100 * kMs;
    queue.Finish(*first, now, true);
    const auto second = MakeCall(1, now + std::chrono::hours(1));
    queue.Offer(*second, now, &refusal);
    const auto infeasible = MakeCall(1, now + 150 * kMs);
    CPPUNIT_ASSERT(DispatchDecision::kRefused ==
                   queue.Offer(*infeasible, now, &refusal));
    CPPUNIT_ASSERT_EQUAL(Verdict::kNotRun, refusal.verdict);
    CPPUNIT_ASSERT(refusal.retry_after > Duration::zero());
  }

  // Guards against calls that are admitted to the link although the target's
  // queue makes them late. The expected wait of a call that had not been
  // offered yet used to omit the waiting calls of the same priority.
  void TestExpectedWaitIncludesCallsOfEqualPriority() {
    Recorder recorder;
    DispatchQueue queue(recorder);
    MonoTime now{std::chrono::hours(1)};
    queue.SetSlots(1, now);
    const MonoTime late = now + std::chrono::hours(1);
    const auto sample = MakeCall(1, late);
    Refusal refusal;
    queue.Offer(*sample, now, &refusal);
    now += 100 * kMs;
    queue.Finish(*sample, now, true);
    const auto running = MakeCall(1, late);
    const auto first = MakeCall(1, late);
    const auto second = MakeCall(1, late);
    queue.Offer(*running, now, &refusal);
    queue.Offer(*first, now, &refusal);
    queue.Offer(*second, now, &refusal);
    const auto next = MakeCall(1, late);
    const auto urgent = MakeCall(0, late);
    const Duration of_second = queue.ExpectedWait(*second, now);
    const Duration of_urgent = queue.ExpectedWait(*urgent, now);
    const Duration before = queue.ExpectedWait(*next, now);
    queue.Offer(*next, now, &refusal);
    const Duration after = queue.ExpectedWait(*next, now);
    queue.RefuseAll(RefusalReason::kShed, "end");
    CPPUNIT_ASSERT(before == after);
    CPPUNIT_ASSERT(before > of_second);
    CPPUNIT_ASSERT(before > of_urgent);
  }

  void TestLeavingTargetRefusesWaitingCalls() {
    Recorder recorder;
    DispatchQueue queue(recorder);
    const MonoTime now{std::chrono::hours(1)};
    queue.SetSlots(1, now);
    const auto running = MakeCall(1, now + std::chrono::hours(1));
    const auto waiting = MakeCall(1, now + std::chrono::hours(1));
    Refusal refusal;
    queue.Offer(*running, now, &refusal);
    queue.Offer(*waiting, now, &refusal);
    queue.SetSlots(0, now);
    queue.RefuseAll(RefusalReason::kTargetLeaving, "leaving");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorder.refused.size());
    CPPUNIT_ASSERT_EQUAL(Verdict::kNotRun, recorder.verdicts[0]);
    queue.Finish(*running, now, true);
    CPPUNIT_ASSERT(recorder.started.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchQueueTest);

}  // namespace

}  // namespace cumin

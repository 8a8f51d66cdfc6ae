#include "cuminload/arrival_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "cuminload/resend_policy.h"
#include "support/property.h"

namespace cumin::load {

namespace {

ScenarioCall MakeCall(const std::string& name, Repeatability repeatability,
                      double rate_per_s) {
  ScenarioCall call;
  call.name = name;
  call.repeatability = repeatability;
  call.rate_per_s = rate_per_s;
  return call;
}

Scenario MakeScenario(double rate_per_s, int seconds) {
  Scenario scenario;
  scenario.length = std::chrono::seconds(seconds);
  scenario.calls = {
      MakeCall("check", Repeatability::kIdempotent, rate_per_s),
      MakeCall("order", Repeatability::kAtMostOnce, rate_per_s / 2)};
  return scenario;
}

class ArrivalScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArrivalScheduleTest);
  CPPUNIT_TEST(TestPlanIsOrderedKeyedAndRepeatable);
  CPPUNIT_TEST(TestRatesAreKept);
  CPPUNIT_TEST(TestKeyHasTheFormOfAUuid);
  CPPUNIT_TEST(TestResendsTakeEachEntryInTurn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestPlanIsOrderedKeyedAndRepeatable() {
    test::CheckProperty("plan", [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto entries = *rc::gen::inRange<std::size_t>(1, 9);
      const Scenario scenario = MakeScenario(*rc::gen::inRange(1, 60), 3);
      SeededRandom random(seed);
      SeededRandom again(seed);
      const auto plan = PlanArrivals(scenario, entries, random);
      RC_ASSERT(plan == PlanArrivals(scenario, entries, again));
      std::set<IdempotencyKey> keys;
      Duration last{0};
      for (const PlannedCall& it : plan) {
        RC_ASSERT(it.send_at >= last && it.send_at < scenario.length);
        RC_ASSERT(it.entry < entries);
        RC_ASSERT(it.key.empty() == (it.kind == 0));
        RC_ASSERT(it.key.empty() || keys.insert(it.key).second);
        last = it.send_at;
      }
    });
  }

  // Bounds of ten standard deviations of the Poisson count, at a fixed seed.
  void TestRatesAreKept() {
    SeededRandom random(20261204);
    const auto plan = PlanArrivals(MakeScenario(200, 50), 1, random);
    const auto orders =
        std::count_if(plan.begin(), plan.end(),
                      [](const PlannedCall& it) { return it.kind == 1; });
    CPPUNIT_ASSERT(orders > 4300 && orders < 5700);
    const auto checks = static_cast<std::int64_t>(plan.size()) - orders;
    CPPUNIT_ASSERT(checks > 9000 && checks < 11000);
  }

  void TestKeyHasTheFormOfAUuid() {
    SeededRandom random(7);
    const std::string key = MakeKey(random).str();
    CPPUNIT_ASSERT_EQUAL(std::size_t{36}, key.size());
    CPPUNIT_ASSERT_EQUAL('4', key[14]);
    CPPUNIT_ASSERT(std::string("89ab").find(key[19]) != std::string::npos);
  }

  void TestResendsTakeEachEntryInTurn() {
    const ResendPolicy policy(3, 2);
    const PlannedCall order{0, Duration(0), IdempotencyKey("k"), 1};
    const PlannedCall check{0, Duration(0), IdempotencyKey(), 1};
    CallOutcome outcome;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *policy.NextEntry(order, outcome));
    outcome.attempts.push_back(AttemptOutcome{"a", AttemptEnd::kCut, 0, "", 0});
    CPPUNIT_ASSERT(!policy.NextEntry(check, outcome));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *policy.NextEntry(order, outcome));
    outcome.attempts.push_back(
        AttemptOutcome{"b", AttemptEnd::kMayHaveRun, 504, "", false});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *policy.NextEntry(order, outcome));
    outcome.attempts.push_back(
        AttemptOutcome{"c", AttemptEnd::kNotRun, 503, "", false});
    CPPUNIT_ASSERT(!policy.NextEntry(order, outcome));
    CPPUNIT_ASSERT(outcome.End() == AttemptEnd::kCut);
    outcome.attempts.resize(2);
    outcome.attempts[1].end = AttemptEnd::kRan;
    CPPUNIT_ASSERT(!policy.NextEntry(order, outcome));
    CPPUNIT_ASSERT(outcome.End() == AttemptEnd::kRan);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalScheduleTest);

}  // namespace

}  // namespace cumin::load

#include "cumin_admission/rate_limiter.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "cumin_core/random.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr double kRatePerS = 1000;

/** A fleet with skewed, shifting ingress traffic and daemons that crash. */
struct FleetScenario {
  int daemons = 20;
  double offered_per_s = 2000;
  /** Fraction of the offered calls that arrives at one daemon. */
  double skew = 0.5;
  /** Interval at which the preferred daemon changes. */
  Duration shift_every{std::chrono::seconds(10)};
  /** Interval at which a daemon crashes and is replaced by a new one. */
  Duration crash_every{std::chrono::seconds(15)};
  /** Until this time, only one in ten calls is offered. */
  Duration step_at{0};
  double report_loss = 0.1;
  int seconds = 60;
};

/** Admitted calls per second, to compare with the contract. */
struct RateError {
  double mean_per_s = 0;
  double highest_second = 0;
  double lowest_second = 0;
};

RateError RunFleet(const FleetScenario& scenario,
                   const RateSharePolicy& policy) {
  SeededRandom random(7);
  Contract contract;
  contract.customer = CustomerId("mines");
  contract.rate_per_s = kRatePerS;
  contract.burst = 100;
  std::vector<RateLimiter> daemons(static_cast<std::size_t>(scenario.daemons),
                                   RateLimiter(policy));
  std::vector<int> generation(daemons.size(), 0);
  std::vector<int> admitted(static_cast<std::size_t>(scenario.seconds), 0);
  std::size_t preferred = 0;
  const Duration step(static_cast<Duration::rep>(1e6 / scenario.offered_per_s));
  const Duration length = std::chrono::seconds(scenario.seconds);
  Duration next_report = policy.report_interval;
  Duration next_shift = scenario.shift_every;
  Duration next_crash = scenario.crash_every;
  for (Duration at{0}; at < length; at += step) {
    const MonoTime now = kStart + at;
    if (at >= next_shift) {
      preferred = random.Below(daemons.size());
      next_shift += scenario.shift_every;
    }
    if (at >= next_crash) {
      const std::size_t crashed = random.Below(daemons.size());
      daemons.at(crashed) = RateLimiter(policy);
      generation.at(crashed) += 1;
      next_crash += scenario.crash_every;
    }
    if (at >= next_report) {
      next_report += policy.report_interval;
      for (std::size_t i = 0; i < daemons.size(); ++i) {
        const VmId self("vm-" + std::to_string(i) + "." +
                        std::to_string(generation.at(i)));
        for (const auto& report : daemons.at(i).TakeReports(self, now)) {
          for (std::size_t j = 0; j < daemons.size(); ++j) {
            if (j != i && random.Unit() >= scenario.report_loss) {
              daemons.at(j).OnReport(report, now);
            }
          }
        }
      }
    }
    if (at < scenario.step_at && random.Below(10) != 0) {
      continue;
    }
    const bool to_preferred = random.Unit() < scenario.skew;
    const std::size_t ingress =
        to_preferred ? preferred : random.Below(daemons.size());
    if (!daemons.at(ingress).Check(contract, now)) {
      admitted.at(static_cast<std::size_t>(at / std::chrono::seconds(1))) += 1;
    }
  }
  RateError error;
  error.highest_second = *std::max_element(admitted.begin(), admitted.end());
  error.lowest_second = *std::min_element(admitted.begin(), admitted.end());
  for (const int it : admitted) {
    error.mean_per_s += 1.0 * it / scenario.seconds;
  }
  return error;
}

bool IsBounded(const RateError& error) {
  return error.mean_per_s <= kRatePerS * 1.05 &&
         error.highest_second <= kRatePerS * 2;
}

void PrintFleet(const char* name, const FleetScenario& scenario,
                const RateSharePolicy& policy) {
  const RateError error = RunFleet(scenario, policy);
  std::printf(
      "rate %s: early %.2f, contract %.0f/s, offered %.0f/s, mean %.0f, "
      "highest second %.0f, lowest second %.0f\n",
      name, policy.early_fraction, kRatePerS, scenario.offered_per_s,
      error.mean_per_s, error.highest_second, error.lowest_second);
}

class RateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimiterTest);
  CPPUNIT_TEST(TestBucketEnforcesRateAndBurst);
  CPPUNIT_TEST(TestTokenIsAvailableAfterTimeToToken);
  CPPUNIT_TEST(TestFleetErrorIsBounded);
  CPPUNIT_TEST(TestReportOfSilentPeerExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestBucketEnforcesRateAndBurst() {
    test::CheckProperty("no window passes more than rate and burst", [] {
      const double rate = *rc::gen::inRange(1, 500);
      const double burst = *rc::gen::inRange(1, 50);
      MonoTime now = kStart;
      TokenBucket bucket(rate, burst, now);
      double passed = 0;
      for (int i = 0; i < 200; ++i) {
        now += Duration(*rc::gen::inRange(0, 20000));
        passed += bucket.TryTake(now) ? 1 : 0;
        const double elapsed_s =
            std::chrono::duration<double>(now - kStart).count();
        RC_ASSERT(passed <= rate * elapsed_s + burst + 1e-6);
      }
    });
  }

  void TestTokenIsAvailableAfterTimeToToken() {
    TokenBucket bucket(3, 1, kStart);
    CPPUNIT_ASSERT(bucket.TryTake(kStart));
    CPPUNIT_ASSERT(!bucket.TryTake(kStart));
    CPPUNIT_ASSERT(bucket.TryTake(kStart + bucket.TimeToToken(kStart)));
  }

  void TestFleetErrorIsBounded() {
    FleetScenario steady;
    steady.skew = 0;
    steady.shift_every = std::chrono::hours(1);
    steady.crash_every = std::chrono::hours(1);
    FleetScenario skewed = steady;
    skewed.skew = 0.9;
    FleetScenario shifting = skewed;
    shifting.shift_every = std::chrono::seconds(10);
    FleetScenario crashing = shifting;
    crashing.crash_every = std::chrono::seconds(5);
    FleetScenario surging = steady;
    surging.step_at = std::chrono::seconds(20);
    FleetScenario herd = surging;
    herd.offered_per_s = 20000;
    herd.seconds = 40;
    FleetScenario under = shifting;
    under.offered_per_s = 900;
    const RateSharePolicy policy;
    PrintFleet("steady", steady, policy);
    PrintFleet("skewed", skewed, policy);
    PrintFleet("shifting", shifting, policy);
    PrintFleet("crashing", crashing, policy);
    PrintFleet("surging", surging, policy);
    PrintFleet("herd", herd, policy);
    PrintFleet("under", under, policy);
    CPPUNIT_ASSERT(IsBounded(RunFleet(crashing, policy)));
    CPPUNIT_ASSERT(IsBounded(RunFleet(herd, policy)));
    // Without reports, every daemon admits the whole rate.
    herd.report_loss = 1;
    CPPUNIT_ASSERT(!IsBounded(RunFleet(herd, policy)));
  }

  void TestReportOfSilentPeerExpires() {
    RateShare share(RateSharePolicy{});
    share.OnReport(VmId("peer"), 900, kStart);
    for (int i = 0; i < 3000; ++i) {
      share.OnArrival(kStart + std::chrono::milliseconds(i));
    }
    MonoTime now = kStart + std::chrono::seconds(3);
    share.TakeReport(now);
    now += std::chrono::seconds(1);
    CPPUNIT_ASSERT(share.RatePerS(kRatePerS, now) < 600);
    now += std::chrono::seconds(2);
    CPPUNIT_ASSERT(share.RatePerS(kRatePerS, now) > 900);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimiterTest);

}  // namespace

}  // namespace cumin

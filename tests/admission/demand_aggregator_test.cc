#include "cumin_admission/demand_aggregator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "support/property.h"

namespace cumin {

namespace {

constexpr double kContractPerS = 100;

/** Daemons with different demand that split one rate through a coordinator,
    which may lose its state. */
class SplitModel {
 public:
  SplitModel(std::vector<double> demands, bool with_reports)
      : demands_(std::move(demands)), with_reports_(with_reports) {
    for (std::size_t i = 0; i < demands_.size(); ++i) {
      shares_.emplace_back(RateSharePolicy{});
    }
  }

  /** Simulates the demand of all daemons for a number of seconds. */
  void Run(int seconds) {
    for (int i = 0; i < seconds * kTicksPerS; ++i) {
      now_ += std::chrono::milliseconds(1000 / kTicksPerS);
      for (std::size_t it = 0; it < shares_.size(); ++it) {
        Offer(it);
      }
      if (i % kTicksPerS == 0) {
        ExchangeAll();
      }
    }
  }

  /** Replaces the coordinator by one without state. */
  void ReplaceCoordinator() { aggregator_ = DemandAggregator(kMaxAge); }

  /** @returns the calls per second that all daemons together admit */
  double Allowed() const {
    double sum = 0;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      sum += std::min(demands_[i], shares_[i].RatePerS(kContractPerS, now_));
    }
    return sum;
  }

 private:
  static constexpr int kTicksPerS = 20;
  static constexpr Duration kMaxAge = std::chrono::seconds(5);

  void Offer(std::size_t daemon) {
    due_calls_.resize(demands_.size());
    due_calls_[daemon] += demands_[daemon] / kTicksPerS;
    for (; due_calls_[daemon] >= 1; due_calls_[daemon] -= 1) {
      shares_[daemon].OnArrival(now_);
    }
  }

  void ExchangeAll() {
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      const VmId vm("vm-" + std::to_string(i));
      const DemandReport report{vm, CustomerId("c"),
                                shares_[i].TakeReport(now_)};
      const double others = aggregator_.Exchange(report, now_);
      if (with_reports_) {
        shares_[i].OnReport(VmId("others"), others, now_);
      }
    }
  }

  std::vector<double> demands_;
  bool with_reports_;
  MonoTime now_{std::chrono::seconds(100)};
  std::vector<RateShare> shares_;
  std::vector<double> due_calls_;
  DemandAggregator aggregator_{kMaxAge};
};

/** Allows 10% above the contract's rate for the ripple of the demand
    estimate. */
void CheckFleetRate(bool with_reports) {
  const auto demands = *rc::gen::container<std::vector<double>>(
      *rc::gen::inRange<std::size_t>(2, 8),
      rc::gen::map(rc::gen::inRange(0, 200), [](int it) { return it * 1.0; }));
  SplitModel model(demands, with_reports);
  model.Run(6);
  RC_ASSERT(model.Allowed() <= 1.1 * kContractPerS);
  model.ReplaceCoordinator();
  model.Run(4);
  RC_ASSERT(model.Allowed() <= 1.1 * kContractPerS);
  double offered = 0;
  for (const double it : demands) {
    offered += it;
  }
  RC_ASSERT(model.Allowed() >= 0.8 * std::min(offered, kContractPerS));
}

class DemandAggregatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandAggregatorTest);
  CPPUNIT_TEST(TestFleetStaysWithinTheRate);
  CPPUNIT_TEST(TestReportOfSilentDaemonExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFleetStaysWithinTheRate() {
    test::CheckPropertyFails(
        "the fleet stays within the rate; fault: no reports",
        [] { CheckFleetRate(false); });
    test::CheckProperty("the fleet stays within the rate",
                        [] { CheckFleetRate(true); });
  }

  void TestReportOfSilentDaemonExpires() {
    DemandAggregator aggregator(std::chrono::seconds(5));
    const MonoTime start(std::chrono::seconds(100));
    const CustomerId customer("c");
    aggregator.Exchange(DemandReport{VmId("vm-1"), customer, 40}, start);
    const DemandReport mine{VmId("vm-2"), customer, 10};
    CPPUNIT_ASSERT_EQUAL(40.0, aggregator.Exchange(mine, start));
    CPPUNIT_ASSERT_EQUAL(
        0.0, aggregator.Exchange(mine, start + std::chrono::seconds(6)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandAggregatorTest);

}  // namespace

}  // namespace cumin

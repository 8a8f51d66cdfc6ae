#include "cumin_admission/demand_board.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "support/property.h"

namespace cumin {

namespace {

constexpr double kContractPerS = 100;

/** Daemons that offer different demand and split one rate over a board; the
    coordinator may lose its state in the middle. */
class SplitModel {
 public:
  SplitModel(std::vector<double> demands, bool with_board)
      : demands_(std::move(demands)), with_board_(with_board) {
    for (std::size_t i = 0; i < demands_.size(); ++i) {
      shares_.emplace_back(RateSharePolicy{});
    }
  }

  /** Lets all daemons offer their demand for a while. */
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

  /** The coordinator dies and another starts with nothing. */
  void LoseCoordinator() { board_ = DemandBoard(kMaxAge); }

  /** @returns what all daemons together let pass in a second */
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
    debt_.resize(demands_.size());
    debt_[daemon] += demands_[daemon] / kTicksPerS;
    for (; debt_[daemon] >= 1; debt_[daemon] -= 1) {
      shares_[daemon].OnArrival(now_);
    }
  }

  void ExchangeAll() {
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      const VmId vm("vm-" + std::to_string(i));
      const DemandReport report{vm, CustomerId("c"),
                                shares_[i].TakeReport(now_)};
      const double others = board_.Exchange(report, now_);
      if (with_board_) {
        shares_[i].OnReport(VmId("others"), others, now_);
      }
    }
  }

  std::vector<double> demands_;
  bool with_board_;
  MonoTime now_{std::chrono::seconds(100)};
  std::vector<RateShare> shares_;
  std::vector<double> debt_;
  DemandBoard board_{kMaxAge};
};

/** A tenth above the contract covers the demand estimate's ripple. */
void RateIsKept(bool with_board) {
  const auto demands = *rc::gen::container<std::vector<double>>(
      *rc::gen::inRange<std::size_t>(2, 8),
      rc::gen::map(rc::gen::inRange(0, 200), [](int it) { return it * 1.0; }));
  SplitModel model(demands, with_board);
  model.Run(6);
  RC_ASSERT(model.Allowed() <= 1.1 * kContractPerS);
  model.LoseCoordinator();
  model.Run(4);
  RC_ASSERT(model.Allowed() <= 1.1 * kContractPerS);
  double offered = 0;
  for (const double it : demands) {
    offered += it;
  }
  RC_ASSERT(model.Allowed() >= 0.8 * std::min(offered, kContractPerS));
}

class DemandBoardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandBoardTest);
  CPPUNIT_TEST(TestFleetKeepsTheRate);
  CPPUNIT_TEST(TestSilentDaemonAgesOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFleetKeepsTheRate() {
    test::CheckPropertyFails("the fleet keeps the rate, nobody told",
                             [] { RateIsKept(false); });
    test::CheckProperty("the fleet keeps the rate", [] { RateIsKept(true); });
  }

  void TestSilentDaemonAgesOut() {
    DemandBoard board(std::chrono::seconds(5));
    const MonoTime start(std::chrono::seconds(100));
    const CustomerId customer("c");
    board.Exchange(DemandReport{VmId("vm-1"), customer, 40}, start);
    const DemandReport mine{VmId("vm-2"), customer, 10};
    CPPUNIT_ASSERT_EQUAL(40.0, board.Exchange(mine, start));
    CPPUNIT_ASSERT_EQUAL(0.0,
                         board.Exchange(mine, start + std::chrono::seconds(6)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandBoardTest);

}  // namespace

}  // namespace cumin

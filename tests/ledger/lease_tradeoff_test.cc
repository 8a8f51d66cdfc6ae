#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

#include "ledger/ledger_model.h"

namespace cumin::test {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr int kTrials = 40;

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

ModelSetup LeaseOf(Duration length) {
  ModelSetup setup;
  setup.lease_length = length;
  return setup;
}

/** Results for one lease length, in seconds or counts, summed over trials. */
struct Tradeoff {
  double unowned = 0;
  double unowned_max = 0;
  double outage_cover = 0;
  double outage_cover_min = 1e9;
  int uncertain = 0;
  int uncertain_not_repeated = 0;
};

/** Prints the costs of different lease lengths and checks how they compare;
    simulated time, ten calls per second. */
class LeaseTradeoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTradeoffTest);
  CPPUNIT_TEST(TestStoreWritesPerCall);
  CPPUNIT_TEST(TestLeaseLength);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestStoreWritesPerCall() {
    constexpr int kCalls = 6000;
    LedgerModel model(1, LeaseOf(std::chrono::seconds(30)));
    model.StepUntilOwner(0);
    for (int i = 0; i < kCalls; ++i) {
      Tick(&model, 0);
      CPPUNIT_ASSERT_EQUAL(RefusalReason::kNone,
                           model.Process(model.SendNew(), 0));
    }
    const int writes = model.store().writes();
    FakeStore claims;
    for (int i = 0; i < kCalls; ++i) {
      const std::string key = "claim/" + std::to_string(i);
      CPPUNIT_ASSERT(claims.CompareAndSwap(key, "", kAbsentIndex, ""));
    }
    CPPUNIT_ASSERT(writes * 50 < claims.writes());
    std::cout << "\n"
              << kCalls << " calls in 600 s: store writes with a claim "
              << "per call " << claims.writes() << ", with shards " << writes
              << "\n";
  }

  void TestLeaseLength() {
    std::cout << "\nlease s | renewals/s of 1400 VMs | s without owner after a "
                 "death, mean max | s of outage covered, mean min | calls of "
                 "that time refused as uncertain, first-sent kept renewed\n";
    double last_outage_cover = 0;
    for (const int length : {10, 15, 30, 60}) {
      Tradeoff sum;
      for (std::uint64_t i = 0; i < kTrials; ++i) {
        MeasureOwnerLoss(i, std::chrono::seconds(length), &sum);
        MeasureOutage(i, std::chrono::seconds(length), &sum);
      }
      std::cout << std::fixed << std::setprecision(1) << length << " | "
                << 1400.0 * 3 / length << " | " << sum.unowned / kTrials << " "
                << sum.unowned_max << " | " << sum.outage_cover / kTrials << " "
                << sum.outage_cover_min << " | " << sum.uncertain / kTrials
                << " " << sum.uncertain_not_repeated / kTrials << "\n";
      CPPUNIT_ASSERT(sum.outage_cover > last_outage_cover);
      CPPUNIT_ASSERT(sum.unowned_max < length + 5);
      last_outage_cover = sum.outage_cover;
    }
  }

 private:
  static void Tick(LedgerModel* model, int daemon) {
    model->Advance(kTick);
    model->StepDaemon(daemon);
  }

  // Makes daemon 0 the owner, at a random time since its last renewal.
  static void OwnAtRandomPhase(LedgerModel* model, Duration length) {
    model->StepUntilOwner(0);
    const auto spread = static_cast<std::uint64_t>(length / kTick);
    const std::uint64_t n = spread + model->random().Below(spread);
    for (std::uint64_t i = 0; i < n; ++i) {
      Tick(model, 0);
    }
  }

  static void MeasureOwnerLoss(std::uint64_t seed, Duration length,
                               Tradeoff* sum) {
    LedgerModel model(seed, LeaseOf(length));
    OwnAtRandomPhase(&model, length);
    model.Restart(0);
    const Duration lost_at = model.elapsed();
    const auto count_refused = [&](int call) {
      return model.Process(model.Resend(call), 1) == RefusalReason::kNone ? 0
                                                                          : 1;
    };
    do {
      Tick(&model, 1);
      model.SendNew();
    } while (model.Process(model.calls() - 1, 1) !=
             RefusalReason::kKeyUncertain);
    const double unowned = Seconds(model.elapsed() - lost_at);
    sum->unowned += unowned;
    sum->unowned_max = std::max(sum->unowned_max, unowned);
    const int waiting = model.calls();
    model.Advance(std::chrono::seconds(2));
    for (int i = 0; i < waiting; ++i) {
      sum->uncertain += count_refused(i);
      sum->uncertain_not_repeated +=
          model.Process(model.SendNew(), 1) == RefusalReason::kNone ? 0 : 1;
    }
  }

  static void MeasureOutage(std::uint64_t seed, Duration length,
                            Tradeoff* sum) {
    LedgerModel model(seed, LeaseOf(length));
    OwnAtRandomPhase(&model, length);
    model.store().SetDown(true);
    const Duration start = model.elapsed();
    while (model.Process(model.SendNew(), 0) == RefusalReason::kNone) {
      Tick(&model, 0);
    }
    const double outage_cover = Seconds(model.elapsed() - start);
    sum->outage_cover += outage_cover;
    sum->outage_cover_min = std::min(sum->outage_cover_min, outage_cover);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTradeoffTest);

}  // namespace

}  // namespace cumin::test

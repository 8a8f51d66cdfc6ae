#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

#include "ledger/ledger_model.h"
#include "support/property.h"

namespace cumin::test {

namespace {

constexpr int kSteps = 8000;

std::uint64_t ArbitrarySeed() {
  return *rc::gen::noShrink(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

/** Property: under random faults no call runs twice, and refusals and replayed
    answers agree with what ran. */
auto HoldsUnderFaults(ModelSetup setup) {
  setup.store_completes_immediately = false;
  return [setup] {
    LedgerModel model(ArbitrarySeed(), setup);
    for (int i = 0; i < kSteps && model.violation().empty(); ++i) {
      model.Step();
    }
    RC_ASSERT(model.violation() == "");
  };
}

/** The same property while the owner's lease expires. */
auto HoldsWhenLeaseExpires(const ModelSetup& setup) {
  return [setup] {
    LedgerModel model(ArbitrarySeed(), setup);
    model.ExpireOwnerLease();
    RC_ASSERT(model.violation() == "");
  };
}

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(TestNoCallRunsTwice);
  CPPUNIT_TEST(TestNoCallRunsTwiceWhenLeaseExpires);
  CPPUNIT_TEST(TestDetectsLeaseCountedFromAnswer);
  CPPUNIT_TEST(TestDetectsFirstSentNotRepeated);
  CPPUNIT_TEST(TestDetectsUnconditionalSwap);
  CPPUNIT_TEST(TestDetectsMissingDispatchCheck);
  CPPUNIT_TEST(TestDetectsMissingClockMargin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNoCallRunsTwice() {
    CheckProperty("no call runs twice", HoldsUnderFaults(ModelSetup{}));
  }

  void TestNoCallRunsTwiceWhenLeaseExpires() {
    CheckProperty("no call runs twice around the end of a lease",
                  HoldsWhenLeaseExpires(ModelSetup{}));
  }

  void TestDetectsLeaseCountedFromAnswer() {
    ModelSetup setup;
    setup.lease_counts_from_answer = true;
    CheckPropertyFails("lease counted from the answer",
                       HoldsWhenLeaseExpires(setup));
  }

  void TestDetectsMissingClockMargin() {
    ModelSetup setup;
    setup.no_clock_margin = true;
    CheckPropertyFails("no margin for clock skew",
                       HoldsWhenLeaseExpires(setup));
  }

  void TestDetectsFirstSentNotRepeated() {
    ModelSetup setup;
    setup.first_sent_not_repeated = true;
    CheckPropertyFails("first-sent differs on resends",
                       HoldsUnderFaults(setup));
  }

  void TestDetectsUnconditionalSwap() {
    ModelSetup setup;
    setup.swaps_unconditional = true;
    CheckPropertyFails("compare-and-swap without comparison",
                       HoldsUnderFaults(setup));
  }

  void TestDetectsMissingDispatchCheck() {
    ModelSetup setup;
    setup.dispatch_unchecked = true;
    CheckPropertyFails("no check at dispatch", HoldsUnderFaults(setup));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace

}  // namespace cumin::test

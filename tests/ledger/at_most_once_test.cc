#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

#include "ledger/ledger_model.h"
#include "support/property.h"

namespace cumin::test {

namespace {

constexpr int kSteps = 8000;

std::uint64_t AnySeed() {
  return *rc::gen::noShrink(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

/** The property: whatever happens, no call runs twice and no refusal or
    replayed answer is false. */
auto HoldsUnderAnyTrouble(ModelSetup setup) {
  setup.is_store_prompt = false;
  return [setup] {
    LedgerModel model(AnySeed(), setup);
    for (int i = 0; i < kSteps && model.broken().empty(); ++i) {
      model.Step();
    }
    RC_ASSERT(model.broken() == "");
  };
}

/** The same property, around the end of an owner's lease. */
auto HoldsWhenLeaseLapses(const ModelSetup& setup) {
  return [setup] {
    LedgerModel model(AnySeed(), setup);
    model.LapseOwner();
    RC_ASSERT(model.broken() == "");
  };
}

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(TestNoCallRunsTwice);
  CPPUNIT_TEST(TestNoCallRunsTwiceWhenLeaseLapses);
  CPPUNIT_TEST(TestDetectsLeaseCountedFromAnswer);
  CPPUNIT_TEST(TestDetectsRestampedFirstSent);
  CPPUNIT_TEST(TestDetectsUnconditionalSwap);
  CPPUNIT_TEST(TestDetectsMissingDispatchCheck);
  CPPUNIT_TEST(TestDetectsMissingClockMargin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNoCallRunsTwice() {
    CheckProperty("no call runs twice", HoldsUnderAnyTrouble(ModelSetup{}));
  }

  void TestNoCallRunsTwiceWhenLeaseLapses() {
    CheckProperty("no call runs twice around the end of a lease",
                  HoldsWhenLeaseLapses(ModelSetup{}));
  }

  void TestDetectsLeaseCountedFromAnswer() {
    ModelSetup setup;
    setup.lease_counts_from_answer = true;
    CheckPropertyFails("lease counted from the answer",
                       HoldsWhenLeaseLapses(setup));
  }

  void TestDetectsMissingClockMargin() {
    ModelSetup setup;
    setup.no_clock_margin = true;
    CheckPropertyFails("no margin for clock skew", HoldsWhenLeaseLapses(setup));
  }

  void TestDetectsRestampedFirstSent() {
    ModelSetup setup;
    setup.first_sent_restamped = true;
    CheckPropertyFails("first-sent differs on resends",
                       HoldsUnderAnyTrouble(setup));
  }

  void TestDetectsUnconditionalSwap() {
    ModelSetup setup;
    setup.swaps_unconditional = true;
    CheckPropertyFails("compare-and-swap without comparison",
                       HoldsUnderAnyTrouble(setup));
  }

  void TestDetectsMissingDispatchCheck() {
    ModelSetup setup;
    setup.dispatch_unchecked = true;
    CheckPropertyFails("no check at dispatch", HoldsUnderAnyTrouble(setup));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace

}  // namespace cumin::test

#include "cumin_http/body_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace cumin {

namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
constexpr std::size_t kLimit = 32 * kMegabyte;

/** Records whether its body was aborted. */
class FakeReader final : public BodyBudget::Reader {
 public:
  void OnBodyAborted() override { is_aborted = true; }

  bool is_aborted = false;
};

struct Body {
  Body(const RefPtr<BodyBudget>& budget, const Endpoint& server)
      : reservation(budget, server, reader) {}

  FakeReader reader;
  BodyBudget::Reservation reservation;
};

class BodyBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyBudgetTest);
  CPPUNIT_TEST(TestEndlessBodyIsAbortedAndNotTheOneThatGrows);
  CPPUNIT_TEST(TestServerWithManyEndlessBodiesLosesThem);
  CPPUNIT_TEST(TestSmallBodiesAreNeverAborted);
  CPPUNIT_TEST(TestCompleteBodyCountsUntilItIsPassedOn);
  CPPUNIT_TEST(TestTotalStaysBelowLimitWhateverServersSend);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    budget_ = RefPtr<BodyBudget>(new BodyBudget(kLimit));
  }

  // One body without end took nearly all of the memory, and the next body of
  // another server that grew was aborted in its place.
  void TestEndlessBodyIsAbortedAndNotTheOneThatGrows() {
    Body endless(budget_, faulty_);
    Body large(budget_, sound_);
    CPPUNIT_ASSERT(endless.reservation.Resize(kLimit - kMegabyte));
    CPPUNIT_ASSERT(large.reservation.Resize(4 * kMegabyte));
    CPPUNIT_ASSERT(endless.reader.is_aborted);
    CPPUNIT_ASSERT_EQUAL(4 * kMegabyte, budget_->total_bytes());
  }

  void TestServerWithManyEndlessBodiesLosesThem() {
    Body large(budget_, sound_);
    CPPUNIT_ASSERT(large.reservation.Resize(8 * kMegabyte));
    std::vector<std::unique_ptr<Body>> endless;
    for (int i = 0; i < 7; ++i) {
      endless.push_back(std::make_unique<Body>(budget_, faulty_));
      endless.back()->reservation.Resize(3 * kMegabyte);
    }
    // Each of them is smaller than the body of the sound server.
    for (const auto& it : endless) {
      it->reservation.Resize(4 * kMegabyte);
    }
    CPPUNIT_ASSERT(!large.reader.is_aborted);
    CPPUNIT_ASSERT(budget_->total_bytes() <= kLimit);
  }

  void TestSmallBodiesAreNeverAborted() {
    std::vector<std::unique_ptr<Body>> small;
    for (int i = 0; i < 40; ++i) {
      small.push_back(std::make_unique<Body>(budget_, sound_));
      CPPUNIT_ASSERT(
          small.back()->reservation.Resize(BodyBudget::kGuaranteedBytes));
    }
    Body large(budget_, faulty_);
    CPPUNIT_ASSERT(!large.reservation.Resize(2 * kMegabyte));
    for (const auto& it : small) {
      CPPUNIT_ASSERT(!it->reader.is_aborted);
    }
  }

  void TestCompleteBodyCountsUntilItIsPassedOn() {
    auto complete = std::make_unique<Body>(budget_, faulty_);
    CPPUNIT_ASSERT(complete->reservation.Resize(30 * kMegabyte));
    complete->reservation.Complete();
    Body next(budget_, faulty_);
    CPPUNIT_ASSERT(!next.reservation.Resize(3 * kMegabyte));
    CPPUNIT_ASSERT(!complete->reader.is_aborted);
    complete.reset();
    Body after(budget_, faulty_);
    CPPUNIT_ASSERT(after.reservation.Resize(3 * kMegabyte));
  }

  void TestTotalStaysBelowLimitWhateverServersSend() {
    constexpr std::size_t kStep = 2 * kMegabyte;
    constexpr int kBodies = 50;
    std::vector<std::unique_ptr<Body>> bodies;
    bodies.reserve(kBodies);
    for (int i = 0; i < kBodies; ++i) {
      bodies.push_back(std::make_unique<Body>(
          budget_,
          Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1 + i % 5)}));
    }
    for (std::size_t n = kStep; n <= kLimit; n += kStep) {
      for (const auto& it : bodies) {
        if (!it->reader.is_aborted) {
          it->reader.is_aborted = !it->reservation.Resize(n);
        }
        CPPUNIT_ASSERT(budget_->total_bytes() <= kLimit);
      }
    }
  }

 private:
  const Endpoint faulty_{"10.0.0.1", 80};
  const Endpoint sound_{"10.0.0.2", 80};
  RefPtr<BodyBudget> budget_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyBudgetTest);

}  // namespace

}  // namespace cumin

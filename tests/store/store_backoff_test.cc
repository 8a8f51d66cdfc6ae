#include "cumin_store/store_backoff.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace cumin {

namespace {

class StoreBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreBackoffTest);
  CPPUNIT_TEST(TestWaitsStayUnderTheDoublingLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestWaitsStayUnderTheDoublingLimit() {
    test::CheckProperty("a wait is at most first * 2^n and the cap", [] {
      const StoreBackoffOptions options;
      StoreBackoff backoff(options);
      SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
      const int failures = *rc::gen::inRange(1, 200);
      const MonoTime now(std::chrono::hours(1));
      Duration limit = options.first;
      for (int i = 0; i < failures; ++i) {
        backoff.OnFailure(now, random);
        const Duration wait = backoff.next_call_at() - now;
        RC_ASSERT(wait >= Duration(0));
        RC_ASSERT(wait <= limit);
        limit = std::min(options.cap, limit * 2);
      }
      RC_ASSERT(backoff.MayCall(now + options.cap));
      backoff.OnSuccess();
      RC_ASSERT(backoff.MayCall(now));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreBackoffTest);

}  // namespace

}  // namespace cumin

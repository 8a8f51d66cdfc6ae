#include <algorithm>
#include <vector>

#include "cumin_routing/answer_check.h"
#include "cumin_routing/connection_health.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};

/** Connections to one peer; all that are open fall silent at one moment.
    @param tells_timeouts  whether the health is told of timeouts
    @returns how many idempotent calls ran into a silent connection */
int CountLostCalls(bool tells_timeouts) {
  ConnectionHealth health;
  std::vector<ConnectionTimes> idle;
  const int open = *rc::gen::inRange(2, 10);
  for (int i = 0; i < open; ++i) {
    const MonoTime opened =
        kStart + std::chrono::milliseconds(*rc::gen::inRange(0, 500));
    idle.push_back({opened, opened});
  }
  const MonoTime silent_from = kStart + std::chrono::milliseconds(500);
  MonoTime now = silent_from;
  int lost = 0;
  for (const ConnectionTimes& it : idle) {
    now += std::chrono::milliseconds(100);
    if (health.Decide(it, Repeatability::kIdempotent, now) ==
        ConnectionDecision::kUse) {
      lost += 1;
      if (tells_timeouts) {
        health.OnTimeout(it, now);
      }
    }
  }
  // One that was opened after the silence began is trusted.
  const ConnectionTimes fresh{now, now};
  RC_ASSERT(health.Decide(fresh, Repeatability::kAtMostOnce, now) ==
            ConnectionDecision::kUse);
  return lost;
}

class ConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionTest);
  CPPUNIT_TEST(TestTimeoutRetiresOlderSiblings);
  CPPUNIT_TEST(TestIdleConnectionIsProbedBeforeWorkThatMustNotRunTwice);
  CPPUNIT_TEST(TestOnlyWholeAnswersPass);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTimeoutRetiresOlderSiblings() {
    test::CheckPropertyFails("silent connections, timeouts not told",
                             [] { RC_ASSERT(CountLostCalls(false) <= 1); });
    test::CheckProperty("one call at most meets a silent connection",
                        [] { RC_ASSERT(CountLostCalls(true) <= 1); });
  }

  void TestIdleConnectionIsProbedBeforeWorkThatMustNotRunTwice() {
    const ConnectionHealth health;
    const ConnectionTimes times{kStart, kStart};
    const auto decide = [&](Repeatability repeatability, int seconds) {
      return health.Decide(times, repeatability,
                           kStart + std::chrono::seconds(seconds));
    };
    CPPUNIT_ASSERT(ConnectionDecision::kUse ==
                   decide(Repeatability::kAtMostOnce, 2));
    CPPUNIT_ASSERT(ConnectionDecision::kProbe ==
                   decide(Repeatability::kAtMostOnce, 4));
    CPPUNIT_ASSERT(ConnectionDecision::kUse ==
                   decide(Repeatability::kIdempotent, 4));
    CPPUNIT_ASSERT(ConnectionDecision::kProbe ==
                   decide(Repeatability::kIdempotent, 20));
    CPPUNIT_ASSERT(ConnectionDecision::kReplace ==
                   decide(Repeatability::kIdempotent, 70));
  }

  void TestOnlyWholeAnswersPass() {
    test::CheckProperty("truncated and crossed answers never pass", [] {
      Exchange exchange;
      exchange.request_id = "a-1";
      exchange.was_sent = *rc::gen::arbitrary<bool>();
      exchange.has_headers = exchange.was_sent && *rc::gen::arbitrary<bool>();
      exchange.answered_id =
          *rc::gen::element<std::string>("a-1", "a-1", "a-2", "");
      const auto length = *rc::gen::inRange<std::size_t>(0, 4);
      if (*rc::gen::arbitrary<bool>()) {
        exchange.declared_bytes = length;
      }
      exchange.received_bytes = *rc::gen::inRange<std::size_t>(0, length + 1);
      exchange.has_end_mark = *rc::gen::arbitrary<bool>();
      const auto refusal = CheckAnswer(exchange);
      if (!refusal) {
        RC_ASSERT(exchange.was_sent && exchange.has_headers);
        RC_ASSERT(exchange.answered_id == exchange.request_id);
        const bool is_whole =
            (exchange.declared_bytes
                 ? exchange.received_bytes == *exchange.declared_bytes
                 : exchange.has_end_mark);
        RC_ASSERT(is_whole);
        return;
      }
      RC_ASSERT((refusal->verdict == Verdict::kNotRun) == !exchange.was_sent);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTest);

}  // namespace

}  // namespace cumin

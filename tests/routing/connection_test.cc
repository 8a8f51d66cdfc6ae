#include <algorithm>
#include <vector>

#include "cumin_routing/answer_check.h"
#include "cumin_routing/connection_health.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};

/** Simulates several open connections to one peer that all go silent at the
    same time.
    @param reports_timeouts  whether ConnectionHealth is informed of timeouts
    @returns the number of idempotent calls sent on a silent connection */
int CountLostCalls(bool reports_timeouts) {
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
      if (reports_timeouts) {
        health.OnTimeout(it, now);
      }
    }
  }
  // A connection opened after the others went silent is used.
  const ConnectionTimes fresh{now, now};
  RC_ASSERT(health.Decide(fresh, Repeatability::kAtMostOnce, now) ==
            ConnectionDecision::kUse);
  return lost;
}

class ConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionTest);
  CPPUNIT_TEST(TestTimeoutReplacesOlderConnections);
  CPPUNIT_TEST(TestIdleConnectionIsProbedBeforeAtMostOnceCall);
  CPPUNIT_TEST(TestOnlyCompleteResponsesAreAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTimeoutReplacesOlderConnections() {
    test::CheckPropertyFails("silent connections, timeouts not reported",
                             [] { RC_ASSERT(CountLostCalls(false) <= 1); });
    test::CheckProperty("at most one call is sent on a silent connection",
                        [] { RC_ASSERT(CountLostCalls(true) <= 1); });
  }

  void TestIdleConnectionIsProbedBeforeAtMostOnceCall() {
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

  void TestOnlyCompleteResponsesAreAccepted() {
    test::CheckProperty("truncated and mismatched responses are rejected", [] {
      Exchange exchange;
      exchange.request_id = "a-1";
      exchange.was_sent = *rc::gen::arbitrary<bool>();
      exchange.has_headers = exchange.was_sent && *rc::gen::arbitrary<bool>();
      exchange.response_request_id =
          *rc::gen::element<std::string>("a-1", "a-1", "a-2", "");
      const auto length = *rc::gen::inRange<std::size_t>(0, 4);
      if (*rc::gen::arbitrary<bool>()) {
        exchange.declared_bytes = length;
      }
      exchange.received_bytes = *rc::gen::inRange<std::size_t>(0, length + 1);
      exchange.has_terminator = *rc::gen::arbitrary<bool>();
      const auto refusal = CheckAnswer(exchange);
      if (!refusal) {
        RC_ASSERT(exchange.was_sent && exchange.has_headers);
        RC_ASSERT(exchange.response_request_id == exchange.request_id);
        const bool is_complete =
            (exchange.declared_bytes
                 ? exchange.received_bytes == *exchange.declared_bytes
                 : exchange.has_terminator);
        RC_ASSERT(is_complete);
        return;
      }
      RC_ASSERT((refusal->verdict == Verdict::kNotRun) == !exchange.was_sent);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTest);

}  // namespace

}  // namespace cumin

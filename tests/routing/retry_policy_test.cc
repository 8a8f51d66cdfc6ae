#include "cumin_routing/retry_policy.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "cumin_core/random.h"
#include "cumin_routing/target_chooser.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr int kTargets = 6;

/** Retry behaviour of the simulated daemons. */
enum class Retries {
  kPolicy,
  /** Each level retries three times independently. */
  kUnbounded,
};

/** Simulates a chain of services in which each calls the next. A third of the
    targets of each service fail, half of those only after they have called the
    next service. */
class ChainModel {
 public:
  ChainModel(std::uint64_t seed, Retries retries, bool avoids_failing,
             int depth)
      : depth_(depth),
        random_(seed),
        retries_(retries),
        avoids_failing_(avoids_failing) {
    for (int it = 0; it < depth; ++it) {
      std::vector<Member> members;
      for (int i = 0; i < kTargets; ++i) {
        Member member;
        member.vm = VmId("vm-" + std::to_string(i));
        member.target =
            AnnouncedTarget{ServiceId("s"), {}, 12, TargetState::kReady};
        members.push_back(member);
      }
      choosers_.emplace_back(Locality{});
      choosers_.back().SetMembers(members, kStart);
      budgets_.emplace_back();
      attempts_.push_back(0);
      calls_.push_back(0);
    }
  }

  /** Simulates one call from outside the mesh. */
  void Run() {
    now_ += std::chrono::milliseconds(1);
    Call(0, "", true);
  }

  /** @returns the number of attempts at the service of this depth, divided by
      the number of calls that would reach it if no call were retried after its
      target had called the next service */
  double Amplification(int depth) const {
    const auto index = static_cast<std::size_t>(depth);
    return 1.0 * attempts_.at(index) / std::max(1, calls_.at(index));
  }

  double MaxAmplification() const {
    double max = 0;
    for (int i = 0; i < depth_; ++i) {
      max = std::max(max, Amplification(i));
    }
    return max;
  }

 private:
  bool Call(std::size_t depth, const std::string& header, bool is_first) {
    if (static_cast<int>(depth) == depth_) {
      return true;
    }
    const CallDeadline deadline(now_ + std::chrono::seconds(1));
    RetryPolicy policy(Repeatability::kIdempotent, RetryAllowance(2, header));
    budgets_.at(depth).OnCall();
    calls_.at(depth) += is_first ? 1 : 0;
    bool is_next_first = is_first;
    ChooseRequest request{ServiceId("s"), {}};
    for (int attempt = 0;; ++attempt) {
      Refusal refusal;
      TargetChooser& chooser = choosers_.at(depth);
      const auto target = chooser.Choose(request, now_, random_, &refusal);
      if (!target) {
        return false;
      }
      request.tried.push_back(target->vm);
      attempts_.at(depth) += 1;
      const bool is_success =
          Attempt(depth, target->vm, policy.allowance().NextHopHeader(),
                  is_next_first, &refusal);
      is_next_first = is_next_first && refusal.verdict == Verdict::kNotRun;
      chooser.Finish(target->vm);
      if (is_success) {
        chooser.OnLoad(target->vm, {0, 0, 12, false}, now_);
        chooser.OnSuccess(target->vm);
        return true;
      }
      if (avoids_failing_) {
        chooser.OnFailure(target->vm, now_);
      }
      const bool retries =
          retries_ == Retries::kUnbounded
              ? attempt < 3
              : policy.Decide(refusal, deadline, budgets_.at(depth), now_) !=
                    RetryDecision::kGiveUp;
      if (!retries) {
        return false;
      }
    }
  }

  bool Attempt(std::size_t depth, const VmId& vm, const std::string& header,
               bool is_first, Refusal* refusal) {
    if (vm == VmId("vm-0")) {
      *refusal = {Verdict::kNotRun, RefusalReason::kPeerUnreachable, "", {}};
      return false;
    }
    // The target responds to its caller whatever the outcome of this call.
    Call(depth + 1, header, is_first);
    if (vm == VmId("vm-1")) {
      *refusal = {Verdict::kMayHaveRun, RefusalReason::kConnectionLost, "", {}};
      return false;
    }
    return true;
  }

  int depth_;
  SeededRandom random_;
  Retries retries_;
  bool avoids_failing_;
  MonoTime now_ = kStart;
  std::vector<TargetChooser> choosers_;
  std::vector<RetryBudget> budgets_;
  std::vector<int> attempts_;
  std::vector<int> calls_;
};

double RunChain(std::uint64_t seed, Retries retries, bool avoids_failing,
                int depth = 6) {
  ChainModel model(seed, retries, avoids_failing, depth);
  for (int i = 0; i < 500; ++i) {
    model.Run();
  }
  return model.MaxAmplification();
}

Refusal RandomRefusal() {
  Refusal refusal;
  refusal.verdict =
      *rc::gen::element(Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan);
  refusal.reason = static_cast<RefusalReason>(
      *rc::gen::inRange(0, static_cast<int>(RefusalReason::kTargetFailed) + 1));
  return refusal;
}

class RetryPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryPolicyTest);
  CPPUNIT_TEST(TestAtMostOnceCallsNeverRunTwice);
  CPPUNIT_TEST(TestAttemptsAreBounded);
  CPPUNIT_TEST(TestAmplificationThroughDepth);
  CPPUNIT_TEST(TestDeadlineShrinksWithEachHop);
  CPPUNIT_TEST(TestAllowanceIsForwarded);
  CPPUNIT_TEST(TestDaemonWithoutConfigurationCausesRedirect);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestAtMostOnceCallsNeverRunTwice() {
    const auto property = [](Repeatability declared) {
      RetryBudget budget;
      RetryPolicy policy(declared, RetryAllowance(5, ""));
      const CallDeadline deadline(kStart + std::chrono::seconds(1));
      const Refusal refusal = RandomRefusal();
      const RetryDecision decision =
          policy.Decide(refusal, deadline, budget, kStart);
      RC_ASSERT(decision == RetryDecision::kGiveUp ||
                refusal.verdict == Verdict::kNotRun);
    };
    test::CheckPropertyFails("only NotRun is retried, declared idempotent",
                             [&] { property(Repeatability::kIdempotent); });
    test::CheckProperty("only NotRun is retried",
                        [&] { property(Repeatability::kAtMostOnce); });
  }

  void TestAttemptsAreBounded() {
    test::CheckProperty(
        "attempts are bounded by allowance, budget and deadline", [] {
          const int granted = *rc::gen::inRange(0, 6);
          RetryPolicy policy(Repeatability::kIdempotent,
                             RetryAllowance(granted, ""));
          const CallDeadline deadline(kStart + std::chrono::milliseconds(100));
          RetryBudget budget;
          for (int i = 0; i < 100; ++i) {
            budget.OnCall();
          }
          MonoTime now = kStart;
          int attempts = 1;
          while (policy.Decide(RandomRefusal(), deadline, budget, now) !=
                 RetryDecision::kGiveUp) {
            attempts += 1;
            RC_ASSERT(now < deadline.at());
            RC_ASSERT(attempts <= granted + 3);
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
          }
        });
  }

  void TestAmplificationThroughDepth() {
    for (const bool avoids_failing : {false, true}) {
      std::printf(
          "attempts per call, a third of targets failing, %s: 6 levels %.3f, "
          "30 levels %.3f; three retries at each level, 6 levels: %.3f\n",
          avoids_failing ? "failing targets avoided"
                         : "failing targets not avoided",
          RunChain(1, Retries::kPolicy, avoids_failing),
          RunChain(1, Retries::kPolicy, avoids_failing, 30),
          RunChain(1, Retries::kUnbounded, avoids_failing));
    }
    test::CheckPropertyFails("amplification, unbounded retries", [] {
      RC_ASSERT(RunChain(*rc::gen::arbitrary<std::uint64_t>(),
                         Retries::kUnbounded, false) < 1.2);
    });
    for (const bool avoids_failing : {false, true}) {
      test::CheckProperty("amplification below 1.2", [avoids_failing] {
        RC_ASSERT(RunChain(*rc::gen::arbitrary<std::uint64_t>(),
                           Retries::kPolicy, avoids_failing) < 1.2);
      });
    }
  }

  void TestDeadlineShrinksWithEachHop() {
    test::CheckProperty(
        "each hop's deadline is earlier than the previous one", [] {
          MonoTime now = kStart;
          CallDeadline outer(
              now + std::chrono::milliseconds(*rc::gen::inRange(1, 500)));
          for (int hop = 0; hop < 30; ++hop) {
            now += std::chrono::microseconds(*rc::gen::inRange(0, 5000));
            const std::int64_t millis = outer.NextHopMillis(now);
            if (millis == 0) {
              RC_ASSERT(outer.Remaining(now) < std::chrono::milliseconds(3));
              return;
            }
            const CallDeadline inner(now + std::chrono::milliseconds(millis));
            RC_ASSERT(inner.at() < outer.at());
            outer = inner;
          }
        });
  }

  void TestAllowanceIsForwarded() {
    RetryAllowance allowance(2, "");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), allowance.NextHopHeader());
    allowance.OnRetry();
    CPPUNIT_ASSERT_EQUAL(std::string("0"), allowance.NextHopHeader());
    CPPUNIT_ASSERT_EQUAL(1, allowance.left());
    CPPUNIT_ASSERT_EQUAL(0, RetryAllowance(3, "0").left());
    CPPUNIT_ASSERT_EQUAL(3, RetryAllowance(3, "99").left());
    CPPUNIT_ASSERT_EQUAL(0, RetryAllowance(3, "x").left());
  }

  // Guards against failing a call that has no retries because it reached a
  // daemon that has just started, while other targets are available.
  void TestDaemonWithoutConfigurationCausesRedirect() {
    RetryBudget budget;
    RetryPolicy policy(Repeatability::kAtMostOnce, RetryAllowance(0, ""));
    const CallDeadline deadline(kStart + std::chrono::seconds(1));
    const Refusal refusal{Verdict::kNotRun, RefusalReason::kNoConfiguration,
                          "no configuration", Duration(0)};
    CPPUNIT_ASSERT(RetryDecision::kRedirect ==
                   policy.Decide(refusal, deadline, budget, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);

}  // namespace

}  // namespace cumin

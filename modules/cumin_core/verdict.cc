#include "cumin_core/verdict.h"

#include <array>
#include <cstddef>
#include <utility>

namespace cumin {

namespace {

constexpr std::array<const char*, 3> kVerdictNames = {"not-run", "may-have-run",
                                                      "ran"};

constexpr std::array<const char*, 29> kReasonNames = {
    "none",
    "no-configuration",
    "unknown-customer",
    "unknown-route",
    "not-granted",
    "bad-request",
    "body-too-large",
    "rate-limited",
    "concurrency-limited",
    "queue-full",
    "deadline-too-short",
    "deadline-expired",
    "shed",
    "no-target",
    "target-leaving",
    "target-starting",
    "quarantined",
    "suspect-running",
    "lease-unavailable",
    "not-shard-owner",
    "key-required",
    "key-expired",
    "key-in-progress",
    "key-uncertain",
    "shutting-down",
    "peer-unreachable",
    "connection-lost",
    "answer-incomplete",
    "target-failed",
};
static_assert(kReasonNames.size() ==
                  static_cast<std::size_t>(RefusalReason::kTargetFailed) + 1,
              "each reason needs a name");

}  // namespace

const char* ToString(Verdict verdict) {
  return kVerdictNames.at(static_cast<std::size_t>(verdict));
}

bool ParseVerdict(const std::string& text, Verdict* out) {
  for (std::size_t i = 0; i < kVerdictNames.size(); ++i) {
    if (text == kVerdictNames.at(i)) {
      *out = static_cast<Verdict>(i);
      return true;
    }
  }
  return false;
}

std::ostream& operator<<(std::ostream& out, Verdict verdict) {
  return out << ToString(verdict);
}

const char* ToString(RefusalReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

RefusalReason ParseRefusalReason(const std::string& text) {
  for (std::size_t i = 0; i < kReasonNames.size(); ++i) {
    if (text == kReasonNames.at(i)) {
      return static_cast<RefusalReason>(i);
    }
  }
  return RefusalReason::kNone;
}

std::ostream& operator<<(std::ostream& out, RefusalReason reason) {
  return out << ToString(reason);
}

Refusal NotRun(RefusalReason reason, std::string detail, Duration retry_after) {
  return Refusal{Verdict::kNotRun, reason, std::move(detail), retry_after};
}

}  // namespace cumin

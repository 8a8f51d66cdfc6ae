#include "cuminload/arrival_schedule.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cumin::load {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr std::size_t kKeyBufferBytes = 40;

/** @returns an exponentially distributed gap to the next Poisson arrival */
Duration DrawGap(double rate_per_s, Random& random) {
  const double seconds = -std::log1p(-random.Unit()) / rate_per_s;
  return Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

}  // namespace

std::vector<PlannedCall> PlanArrivals(const Scenario& scenario,
                                      std::size_t entry_count, Random& random) {
  std::vector<PlannedCall> planned;
  for (std::size_t kind = 0; kind < scenario.calls.size(); ++kind) {
    const ScenarioCall& call = scenario.calls[kind];
    const bool keyed = call.repeatability == Repeatability::kAtMostOnce;
    Duration at = DrawGap(call.rate_per_s, random);
    while (at < scenario.length) {
      const IdempotencyKey key = keyed ? MakeKey(random) : IdempotencyKey();
      const auto entry = static_cast<std::size_t>(random.Below(entry_count));
      planned.push_back(PlannedCall{kind, at, key, entry});
      at += DrawGap(call.rate_per_s, random);
    }
  }
  std::stable_sort(planned.begin(), planned.end(),
                   [](const PlannedCall& a, const PlannedCall& b) {
                     return a.send_at < b.send_at;
                   });
  return planned;
}

IdempotencyKey MakeKey(Random& random) {
  constexpr std::uint64_t kVersionMask = 0xFFFFFFFFFFFF0FFFULL;
  constexpr std::uint64_t kVersion4 = 0x4000;
  constexpr std::uint64_t kVariantMask = 0x3FFFFFFFFFFFFFFFULL;
  constexpr std::uint64_t kVariant1 = 0x8000000000000000ULL;
  const std::uint64_t high = (random.Next() & kVersionMask) | kVersion4;
  const std::uint64_t low = (random.Next() & kVariantMask) | kVariant1;
  char buf[kKeyBufferBytes];
  std::snprintf(buf, sizeof(buf), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(high >> 32U),
                static_cast<unsigned>(high >> 16U & 0xFFFFU),
                static_cast<unsigned>(high & 0xFFFFU),
                static_cast<unsigned>(low >> 48U),
                static_cast<unsigned long long>(low & 0xFFFFFFFFFFFFULL));
  return IdempotencyKey(buf);
}

}  // namespace cumin::load

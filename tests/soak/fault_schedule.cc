#include "soak/fault_schedule.h"

#include <algorithm>

#include "cumin_core/random.h"

namespace cumin::test {

namespace {

constexpr std::uint64_t kKinds = 11;
constexpr std::uint64_t kLinkFaults = 4;
/** One in three faults is followed by another one on the same VM, within
    kSeriesGap. */
constexpr std::uint64_t kSeriesOneIn = 3;
constexpr Duration kSeriesGap = std::chrono::milliseconds(300);
constexpr Duration kMinFaultLength = std::chrono::milliseconds(100);
constexpr Duration kMaxFaultLength = std::chrono::milliseconds(2500);

Duration DrawBetween(Random& random, Duration from, Duration to) {
  const auto span = static_cast<std::uint64_t>((to - from).count());
  return from + Duration{static_cast<Duration::rep>(random.Below(span + 1))};
}

FaultEvent DrawFault(Random& random, const FaultPlan& plan) {
  FaultEvent event;
  event.kind = static_cast<FaultKind>(random.Below(kKinds));
  event.length = DrawBetween(random, kMinFaultLength, kMaxFaultLength);
  event.vm =
      static_cast<int>(random.Below(static_cast<std::uint64_t>(plan.vms)));
  event.link = static_cast<LinkFault>(1 + random.Below(kLinkFaults));
  return event;
}

}  // namespace

const char* ToString(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
      return "kill";
    case FaultKind::kTerminate:
      return "terminate";
    case FaultKind::kPause:
      return "pause";
    case FaultKind::kStoreLink:
      return "store-link";
    case FaultKind::kTargetLink:
      return "target-link";
    case FaultKind::kStoreDown:
      return "store-down";
    case FaultKind::kStoreLosesAnswers:
      return "store-loses-answers";
    case FaultKind::kStoreForgets:
      return "store-forgets";
    case FaultKind::kLeasesEnd:
      return "leases-end";
    case FaultKind::kTargetLeaves:
      return "target-leaves";
    case FaultKind::kConfiguration:
      return "configuration";
  }
  return "";
}

std::string Describe(const FaultEvent& event) {
  std::string text = std::to_string(ToMillis(event.at)) + " ms " +
                     ToString(event.kind) + " vm" + std::to_string(event.vm) +
                     " for " + std::to_string(ToMillis(event.length)) + " ms";
  const bool is_link = event.kind == FaultKind::kStoreLink ||
                       event.kind == FaultKind::kTargetLink;
  if (is_link) {
    text += std::string(" ") + ToString(event.link);
  }
  return text;
}

std::vector<FaultEvent> DrawFaults(const FaultPlan& plan, std::uint64_t seed) {
  SeededRandom random(seed);
  std::vector<FaultEvent> events;
  while (static_cast<int>(events.size()) < plan.faults) {
    FaultEvent event = DrawFault(random, plan);
    event.at = DrawBetween(random, Duration::zero(), plan.length);
    events.push_back(event);
    while (random.Below(kSeriesOneIn) == 0) {
      FaultEvent next = DrawFault(random, plan);
      next.at =
          events.back().at + DrawBetween(random, Duration::zero(), kSeriesGap);
      next.vm = event.vm;
      events.push_back(next);
    }
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
  return events;
}

}  // namespace cumin::test

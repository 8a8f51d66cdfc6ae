// The store turns two of six machines away without a response. These two watch
// it for all; meanwhile the operator moves a route to another service.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "../rig/rig.h"

namespace {

using review::Now;

constexpr double kConfigApplyS = 2.5;
constexpr double kSkewMaxS = 5;
/** The largest dose of the sites: share = 0.35, for_s = 9. */
constexpr std::size_t kTurnedAway = 2;
constexpr double kSilentS = 9;
constexpr int kMachines = 6;
constexpr int kDeadlineMs = 2000;
/** Start of the last round at the latest, which takes 11 s. */
constexpr double kLastRoundS = 92;

/** @returns a version with the route at the service */
std::string VersionWith(int version, const std::string& service) {
  return review::Configuration(version, {{"/price/", "idempotent", service}},
                               {"catalogue", "orderdesk"});
}

/** @returns the machines at which a watch waits */
std::vector<review::Machine*> FindWatchers(review::Installation& mesh) {
  const std::set<int> gates = mesh.store->WaitingWatches();
  std::vector<review::Machine*> watchers;
  for (const auto& it : mesh.machines) {
    if (gates.count(it->store.port) > 0) {
      watchers.push_back(it.get());
    }
  }
  return watchers;
}

/** What the machines that the store serves did in one round. */
struct Judged {
  int sent = 0;
  int answered = 0;
  int run_by_old = 0;
};

/** Turns the watchers away for kSilentS, and moves the route meanwhile. */
Judged TurnAway(review::Installation& mesh,
                const std::vector<review::Machine*>& watchers, int version) {
  const double silent_at = Now();
  for (const review::Machine* it : watchers) {
    if (review::HasTrouble()) {
      mesh.store->SetSilent(it->store, true);
      mesh.record.Write("the store turns " + it->name + " away");
    }
  }
  review::Sleep(0.2);
  mesh.store->Put("op/config", VersionWith(version, "orderdesk"));
  const double moved_at = Now();
  mesh.record.Write("version r" + std::to_string(version) +
                    " acknowledged: /price/ goes to orderdesk");
  // Only machines that the store serves all the while are judged, and only
  // after the bound that a store with such an impairment stretches.
  review::SleepUntil(moved_at + kConfigApplyS + kSkewMaxS + 0.1);
  Judged judged;
  std::set<std::string> attempts;
  while (Now() < silent_at + kSilentS) {
    for (const auto& machine : mesh.machines) {
      const bool is_watcher = std::find(watchers.begin(), watchers.end(),
                                        machine.get()) != watchers.end();
      if (is_watcher) {
        continue;
      }
      const review::Message request =
          review::MakeRequest("GET", "/price/spring", kDeadlineMs);
      const std::string attempt = request.Get("X-Attempt-Id");
      attempts.insert(attempt);
      const int status = review::Call(machine->outbound, request, 4).status;
      mesh.record.Write("sent " + attempt + " at " + machine->name +
                        ", answered " + std::to_string(status));
      judged.sent += 1;
      judged.answered += status == 200 ? 1 : 0;
    }
    review::Sleep(0.1);
  }
  for (const review::Machine* it : watchers) {
    mesh.store->SetSilent(it->store, false);
  }
  for (const auto& machine : mesh.machines) {
    for (const auto& it : machine->upstream.runs()) {
      const bool is_old =
          machine->service == "catalogue" && attempts.count(it.attempt) > 0;
      judged.run_by_old += is_old ? 1 : 0;
    }
  }
  mesh.record.Write("sent " + std::to_string(judged.sent) +
                    " at machines that the store serves, later than " +
                    std::to_string(kConfigApplyS + kSkewMaxS) +
                    " s after the acknowledgement; answered " +
                    std::to_string(judged.answered) +
                    ", run by the old service " +
                    std::to_string(judged.run_by_old));
  return judged;
}

int Run(const std::string& record) {
  std::vector<std::string> services;
  services.reserve(kMachines);
  for (int i = 0; i < kMachines; ++i) {
    services.emplace_back(i % 2 == 0 ? "catalogue" : "orderdesk");
  }
  review::Installation mesh(record, services);
  const bool is_up = mesh.Start(VersionWith(7, "catalogue")) &&
                     mesh.AwaitServed("/price/ready", 15);
  if (!is_up) {
    return review::kCannotRun;
  }
  // The watches of the start, when no daemon knew the others, end within 11 s.
  review::Sleep(12);
  int version = 7;
  int answered = 0;
  bool is_broken = false;
  while (!is_broken && Now() < kLastRoundS) {
    version += 1;
    mesh.store->Put("op/config", VersionWith(version, "catalogue"));
    mesh.record.Write("version r" + std::to_string(version) +
                      " acknowledged: /price/ goes to catalogue");
    review::Sleep(1);
    const std::vector<review::Machine*> watchers = FindWatchers(mesh);
    mesh.record.Write("machines that watch the store: " +
                      std::to_string(watchers.size()));
    // More than these watch for some seconds now and then.
    if (watchers.size() == kTurnedAway) {
      version += 1;
      const Judged judged = TurnAway(mesh, watchers, version);
      answered += judged.answered;
      is_broken = judged.run_by_old > 0;
    }
    review::Sleep(1);
  }
  if (answered == 0) {
    return review::kCannotRun;
  }
  mesh.record.Write(is_broken ? "CONFIG broken" : "CONFIG held");
  return is_broken ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 2 ? Run(argv[1]) : review::kCannotRun;
}

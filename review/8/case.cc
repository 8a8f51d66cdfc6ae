// An upstream leaves, its leave is acknowledged, and then all daemons are
// killed at the same moment. A status report that it sent before, and that
// arrives late, puts the upstream to work again.

#include <algorithm>
#include <iostream>
#include <string>

#include "../rig-2/rig.h"

namespace {

constexpr std::chrono::seconds kReadyLimit{20};
constexpr double kDrainS = 2.5;
constexpr double kContactS = 4.0;
/** Beyond contact-s, so that all machines are in touch. */
constexpr int kCalmMs = 5500;
/** Processes are started again after a short delay. */
constexpr int kRestartDelayMs = 300;
/** The late report arrives so long after the leave was acknowledged. */
constexpr int kLateMs = 3000;
constexpr int kCalls = 160;

int RunCase(const std::string& folder) {
  review::Mesh mesh(folder);
  review::Record& record = mesh.record();
  mesh.store().Put(
      "op/config",
      review::Configuration(3, {{"r1", "/order/", "idempotent", "desk"}}, {}));
  review::Machine& leaving = mesh.AddMachine("desk", "z-a", "r-a");
  mesh.AddMachine("desk", "z-b", "r-a");
  review::Machine& front = mesh.AddMachine("board", "z-a", "r-a");
  for (const auto& it : mesh.machines()) {
    mesh.StartDaemon(*it);
  }
  if (!mesh.AwaitReady(kReadyLimit)) {
    return 2;
  }
  mesh.StartReports();
  review::SleepMs(kCalmMs);
  if (mesh.Call(front, "before", "GET", "/order/1", {}).status != 200) {
    return 2;
  }
  // The report that will arrive late is sent before the upstream leaves.
  leaving.reports = false;
  review::SleepMs(100);
  review::Message late;
  late.method = "PUT";
  late.target = "/instances/" + leaving.instance;
  late.headers = {{"Host", leaving.control.Text()}};
  late.body = review::Mesh::ReportBody(leaving, "ready", ++leaving.sequence);
  review::Message leave;
  leave.method = "DELETE";
  leave.target = "/instances/" + leaving.instance;
  leave.headers = {{"Host", leaving.control.Text()}};
  const int acknowledged =
      review::Exchange(leaving.control, leave, std::chrono::seconds(1)).status;
  const double left_at = record.Now();
  record.Write("leave of " + leaving.instance + " acknowledged with " +
               std::to_string(acknowledged));
  if (acknowledged != 200) {
    return 2;
  }
  double restarted_at = left_at;
  if (!review::IsCalm()) {
    std::vector<review::Machine*> all;
    for (const auto& it : mesh.machines()) {
      all.push_back(it.get());
    }
    mesh.KillDaemons(all);
    review::SleepMs(kRestartDelayMs);
    for (review::Machine* it : all) {
      mesh.StartDaemon(*it);
    }
    restarted_at = record.Now();
  }
  review::SleepMs(kLateMs - static_cast<int>(1000 * (record.Now() - left_at)));
  const int status =
      review::Exchange(leaving.control, late, std::chrono::seconds(1)).status;
  record.Write("late report acknowledged with " + std::to_string(status));
  const double in_touch_at =
      std::max(left_at + kDrainS, restarted_at + kContactS) + 0.1;
  while (record.Now() < in_touch_at) {
    review::SleepMs(10);
  }
  for (int i = 0; i < kCalls && record.Now() < left_at + 9; ++i) {
    mesh.Call(front, "after-" + std::to_string(i), "GET", "/order/2", {});
  }
  int late_runs = 0;
  int served = 0;
  for (const review::Run& it : mesh.Runs()) {
    const bool is_after = it.attempt.rfind("after-", 0) == 0;
    served += is_after ? 1 : 0;
    late_runs += is_after && it.upstream == leaving.instance ? 1 : 0;
  }
  record.Write("of " + std::to_string(served) + " runs " +
               std::to_string(late_runs) + " were at " + leaving.instance +
               ", more than drain-s after its leave was acknowledged");
  if (served == 0) {
    return 2;
  }
  return late_runs > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  const int result = argc == 2 ? RunCase(argv[1]) : 2;
  std::cout << "result " << result << "\n";
  return result;
}

// An upstream takes its leave with DELETE and serves on for some seconds. The
// daemon beside it is killed and started again. A status report that the
// upstream sent before its leave arrives seconds late.

#include <signal.h>  // NOLINT: SIGKILL is POSIX, not <csignal>.

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "../rig/rig.h"

namespace {

using review::Now;

constexpr double kDrainS = 2.5;
constexpr double kContactS = 4;
/** From the leave to the arrival of the late report. */
constexpr double kLateS = 6;
/** From the leave to the end of the upstream. */
constexpr double kServesOnS = 8;
constexpr int kCallers = 6;
constexpr int kDeadlineMs = 2000;
constexpr double kOrderS = 0.4;

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
};

void SendOrders(review::Installation& mesh, double until, Counts* counts) {
  while (Now() < until) {
    const review::Message request =
        review::MakeRequest("POST", "/order/coil", kDeadlineMs, "an order");
    const std::string attempt = request.Get("X-Attempt-Id");
    mesh.record.Write("send " + attempt + " POST /order/coil");
    const int status =
        review::Call(mesh.machines.front()->outbound, request, 4).status;
    mesh.record.Write("answer " + attempt + " " + std::to_string(status));
    counts->sent += 1;
    counts->answered += status == 200 ? 1 : 0;
    counts->refused += status == 503 ? 1 : 0;
    counts->failed += status != 200 && status != 503 ? 1 : 0;
    review::Sleep(0.05);
  }
}

int Run(const std::string& record) {
  review::Installation mesh(record, {"catalogue", "orderdesk", "orderdesk"});
  const bool is_up = mesh.Start(review::Configuration(
                         7, {{"/order/", "non_idempotent", "orderdesk"}},
                         {"catalogue", "orderdesk"})) &&
                     mesh.AwaitServed("/order/ready", 15);
  if (!is_up) {
    return review::kCannotRun;
  }
  review::Machine& leaving = *mesh.machines[1];
  for (const auto& it : mesh.machines) {
    it->upstream.work = [](const std::string& /*target*/) { return kOrderS; };
  }
  review::Sleep(kContactS + 1);

  const review::Message late = leaving.upstream.MakeReport("ready");
  mesh.record.Write("a report of " + leaving.name + " is under way");
  const int acknowledged = leaving.upstream.Leave();
  const double left_at = Now();
  mesh.record.Write("leave of " + leaving.name + " acknowledged with " +
                    std::to_string(acknowledged));
  if (acknowledged != 200) {
    return review::kCannotRun;
  }
  if (review::HasTrouble()) {
    leaving.Signal(SIGKILL);
    review::Sleep(0.3);
    leaving.StartDaemon();
    if (!mesh.AwaitReady(1.2)) {
      return review::kCannotRun;
    }
  }
  // From here on every daemon is in touch when it gets a request.
  review::SleepUntil(left_at + kLateS - 0.1);
  Counts counts;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&mesh, left_at, &counts, i] {
      review::Sleep(kOrderS / kCallers * i);
      SendOrders(mesh, left_at + kServesOnS + 1, &counts);
    });
  }
  review::SleepUntil(left_at + kLateS);
  const int status = review::Call(leaving.control, late, 1).status;
  mesh.record.Write("the late report of " + leaving.name +
                    " arrived: " + std::to_string(status));
  review::SleepUntil(left_at + kServesOnS);
  leaving.upstream.End();
  mesh.record.Write("end of the upstream of " + leaving.name);
  for (std::thread& it : callers) {
    it.join();
  }

  int late_runs = 0;
  int lost = 0;
  for (const auto& it : leaving.upstream.runs()) {
    const bool is_late = it.at > left_at + kDrainS;
    late_runs += is_late ? 1 : 0;
    lost += is_late && !it.is_answered ? 1 : 0;
  }
  mesh.record.Write("orders sent " + std::to_string(counts.sent) +
                    ", answered " + std::to_string(counts.answered) +
                    ", refused " + std::to_string(counts.refused) +
                    ", failed " + std::to_string(counts.failed) +
                    "; reached the upstream later than " +
                    std::to_string(kDrainS) + " s after its leave " +
                    std::to_string(late_runs) + ", of these cut by its end " +
                    std::to_string(lost));
  if (counts.answered == 0) {
    return review::kCannotRun;
  }
  mesh.record.Write(late_runs > 0 ? "DRAIN broken" : "DRAIN held");
  return late_runs > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 2 ? Run(argv[1]) : review::kCannotRun;
}

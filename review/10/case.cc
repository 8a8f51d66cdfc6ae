// Requesters of large uploads leave while their daemon waits for room on the
// link of the target's machine. The uploads are sent, and run, all the same.

#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../rig-2/rig.h"

namespace {

constexpr std::chrono::seconds kReadyLimit{20};
constexpr int kSettleMs = 5000;
constexpr int kBursts = 5;
constexpr int kLeavers = 4;
/** Two uploads of this size fit into kMaxWait of a link of 14 Mbit/s. */
constexpr std::size_t kBodyBytes = 250000;
constexpr int kLinkMbps = 14;
/** The longest work of the class on the sheet. */
constexpr int kWorkMs = 2300;
constexpr int kSlots = 6;
constexpr std::chrono::milliseconds kLeaveAfter{100};
constexpr double kGraceS = 0.5;
/** More than a few. */
constexpr int kAllowed = 5;

review::Message Upload(const std::string& attempt, std::size_t n) {
  review::Message request;
  request.method = "POST";
  request.target = "/sheet/1";
  request.headers = {{"Host", review::Mesh::kHost},
                     {"X-Attempt-Id", attempt},
                     {"X-Deadline-Ms", "8000"}};
  request.body = std::string(n, 's');
  return request;
}

int RunCase(const std::string& folder) {
  review::Mesh mesh(folder);
  review::Record& record = mesh.record();
  mesh.store().Put(
      "op/config",
      review::Configuration(3, {{"r1", "/sheet/", "upload", "sheets"}}, {}));
  mesh.SetLinkMbps(kLinkMbps);
  mesh.AddMachine("sheets", "z-a", "r-a");
  review::Machine& front = mesh.AddMachine("hours", "z-b", "r-a");
  for (const auto& it : mesh.machines()) {
    mesh.StartDaemon(*it);
  }
  if (!mesh.AwaitReady(kReadyLimit)) {
    return 2;
  }
  mesh.StartReports();
  review::SleepMs(kSettleMs);
  mesh.SetWorkMs(kWorkMs);
  std::mutex mutex;
  std::map<std::string, double> left_at;
  for (int burst = 0; burst < kBursts; ++burst) {
    std::vector<std::thread> requesters;
    for (int i = 0; i < kSlots; ++i) {
      // Small requests of others, which stay and use the slots.
      const std::string attempt =
          "stay-" + std::to_string(burst) + "-" + std::to_string(i);
      requesters.emplace_back([&front, attempt] {
        (void)review::Exchange(front.outbound, Upload(attempt, 100),
                               std::chrono::seconds(8));
      });
    }
    review::SleepMs(200);
    for (int i = 0; i < kLeavers; ++i) {
      const std::string attempt =
          "leave-" + std::to_string(burst) + "-" + std::to_string(i);
      requesters.emplace_back([&, attempt] {
        const review::Message request = Upload(attempt, kBodyBytes);
        if (review::IsCalm()) {
          (void)review::Exchange(front.outbound, request,
                                 std::chrono::seconds(8));
        } else {
          review::SendAndLeave(front.outbound, request, kLeaveAfter);
        }
        const std::lock_guard<std::mutex> lock(mutex);
        left_at[attempt] = record.Now();
        record.Write("closed " + attempt);
      });
    }
    for (std::thread& it : requesters) {
      it.join();
    }
    review::SleepMs(kWorkMs + 500);
  }
  int late = 0;
  int runs = 0;
  for (const review::Run& it : mesh.Runs()) {
    const auto left = left_at.find(it.attempt);
    runs += 1;
    const bool is_late =
        left != left_at.end() && it.at_s > left->second + kGraceS;
    late += is_late ? 1 : 0;
  }
  record.Write(std::to_string(runs) + " runs, " + std::to_string(late) +
               " began over half a second after their requester had left");
  return runs == 0 ? 2 : (late > kAllowed ? 1 : 0);
}

}  // namespace

int main(int argc, char** argv) {
  const int result = argc == 2 ? RunCase(argv[1]) : 2;
  std::cout << "result " << result << "\n";
  return result;
}

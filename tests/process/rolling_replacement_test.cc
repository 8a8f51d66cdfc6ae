#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "process/desk_mesh.h"
#include "support/property.h"

namespace cumin {

namespace {

using std::chrono::milliseconds;
using test::DeskMesh;

constexpr int kVms = 3;
constexpr milliseconds kDeadline{4000};
constexpr milliseconds kReadinessPeriod{100};
constexpr int kResends = 3;

/** Callers that use the daemons that were ready at the last readiness check,
    and send a call again, with its key, unless it ran. */
class ReadyCallers {
 public:
  ReadyCallers(DeskMesh& mesh, int threads) : mesh_(mesh) {
    for (std::atomic<bool>& it : ready_) {
      it = true;
    }
    threads_.emplace_back([this] { WatchReadiness(); });
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this, i] {
        for (int n = 0; !stopping_; ++n) {
          CallUntilRun(i + n, std::to_string(i) + "-" + std::to_string(n),
                       n % 3 == 0);
        }
      });
    }
  }

  ~ReadyCallers() { Stop(); }

  ReadyCallers(const ReadyCallers&) = delete;
  ReadyCallers& operator=(const ReadyCallers&) = delete;

  void Stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      if (it.joinable()) {
        it.join();
      }
    }
  }

  /** @returns the number of attempts by kind, verdict and reason */
  const std::map<std::string, int>& attempt_counts() const {
    return attempt_counts_;
  }
  int answered() const { return answered_; }
  int failed() const { return failed_; }

 private:
  void WatchReadiness() {
    while (!stopping_) {
      for (int vm = 0; vm < kVms; ++vm) {
        HttpRequest request;
        request.path = "/-/ready";
        const auto response = mesh_.Call(vm, request, kDeadline);
        ready_.at(static_cast<std::size_t>(vm)) =
            response && response.value().status == 200;
      }
      std::this_thread::sleep_for(kReadinessPeriod);
    }
  }

  int NextReady(int from) const {
    for (int i = 0; i < kVms; ++i) {
      const int vm = (from + i) % kVms;
      if (ready_.at(static_cast<std::size_t>(vm))) {
        return vm;
      }
    }
    return from % kVms;
  }

  void CallUntilRun(int first, const std::string& name, bool is_order) {
    const HttpRequest request =
        is_order ? DeskMesh::Order(name) : DeskMesh::Item(name, "");
    for (int i = 0; i <= kResends; ++i) {
      const auto response =
          mesh_.Call(NextReady(first + i), request, kDeadline);
      const std::string end =
          response ? response.value().headers.Get("Cumin-Verdict") + " " +
                         response.value().headers.Get("Cumin-Reason")
                   : "no answer";
      const std::lock_guard<std::mutex> lock(mutex_);
      attempt_counts_[(is_order ? "order " : "item ") + end] += 1;
      if (end.rfind("ran", 0) == 0) {
        answered_ += 1;
        return;
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    failed_ += 1;
  }

  DeskMesh& mesh_;
  std::atomic<bool> stopping_{false};
  std::array<std::atomic<bool>, kVms> ready_{};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::map<std::string, int> attempt_counts_;
  int answered_ = 0;
  int failed_ = 0;
};

/** Effects on callers of replacing every VM in turn. */
struct ReplacementCost {
  int answered = 0;
  int failed = 0;
  /** Attempts that did not end with the verdict "ran". */
  int unsuccessful_attempts = 0;
  int cut_off_runs = 0;
  int orders_run_twice = 0;
};

ReplacementCost ReplaceEveryVm(const std::string& name,
                               const std::string& settings) {
  DeskMesh mesh(kVms, {"--service-ms", "20", "--linger-ms", "500"}, settings);
  ReadyCallers callers(mesh, 6);
  for (int vm = 0; vm < kVms; ++vm) {
    std::this_thread::sleep_for(milliseconds(300));
    mesh.daemon(vm).Terminate();
    mesh.daemon(vm).WaitForEnd();
    mesh.target(vm).Terminate();
    mesh.target(vm).WaitForEnd();
    mesh.Replace(vm);
  }
  callers.Stop();
  ReplacementCost cost;
  cost.answered = callers.answered();
  cost.failed = callers.failed();
  std::string text;
  for (const auto& [end, times] : callers.attempt_counts()) {
    text += " " + std::to_string(times) + " " + end + ";";
    const bool has_run = end.find(" ran") != std::string::npos;
    cost.unsuccessful_attempts += has_run ? 0 : times;
  }
  std::map<std::string, int> finished;
  for (int vm = 0; vm < kVms; ++vm) {
    for (const test::LoggedRun& it : mesh.Runs(vm)) {
      cost.cut_off_runs += it.event == "cut" ? 1 : 0;
      if (it.event == "finish" && !it.key.empty()) {
        cost.orders_run_twice += ++finished[it.key] == 2 ? 1 : 0;
      }
    }
  }
  std::printf(
      "%s: %d answered, %d failed, %d cut off, %d run twice; attempts:%s\n",
      name.c_str(), cost.answered, cost.failed, cost.cut_off_runs,
      cost.orders_run_twice, text.c_str());
  return cost;
}

class RollingReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RollingReplacementTest);
  CPPUNIT_TEST(TestNoCallIsAbortedOrRunTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNoCallIsAbortedOrRunTwice() {
    ReplaceEveryVm("no notice", "leave_notice_ms: 0\n");
    const ReplacementCost cost = ReplaceEveryVm("notice of 1 s", "");
    CPPUNIT_ASSERT_EQUAL(0, cost.failed);
    CPPUNIT_ASSERT_EQUAL(0, cost.cut_off_runs);
    CPPUNIT_ASSERT_EQUAL(0, cost.orders_run_twice);
    CPPUNIT_ASSERT(cost.answered > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RollingReplacementTest);

}  // namespace

}  // namespace cumin

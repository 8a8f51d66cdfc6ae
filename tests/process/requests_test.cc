#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "process/desk_mesh.h"
#include "support/property.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

using std::chrono::milliseconds;
using test::DeskMesh;

constexpr milliseconds kDeadline{4000};
constexpr std::int64_t kMaxNewWorkMs = 3000;

std::string VerdictOf(const Result<HttpResponse>& response) {
  return response ? response.value().headers.Get("Cumin-Verdict") : "none";
}

std::string ReasonOf(const Result<HttpResponse>& response) {
  return response ? response.value().headers.Get("Cumin-Reason")
                  : response.error().reason;
}

/** Threads that send items and orders to some daemons until stopped. */
class Callers {
 public:
  Callers(DeskMesh& mesh, const std::vector<int>& ingresses, int threads) {
    for (int i = 0; i < threads; ++i) {
      const int ingress =
          ingresses.at(static_cast<std::size_t>(i) % ingresses.size());
      threads_.emplace_back([this, &mesh, ingress, i] {
        for (int n = 0; !stopping_; ++n) {
          CallOnce(mesh, ingress, std::to_string(i) + "-" + std::to_string(n),
                   n % 3 == 0);
        }
      });
    }
  }

  ~Callers() { Stop(); }

  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      if (it.joinable()) {
        it.join();
      }
    }
  }

  /** @returns the number of calls by verdict and reason */
  const std::map<std::string, int>& call_counts() const { return call_counts_; }
  /** @returns the keys of the orders that were answered "ran" */
  const std::vector<std::string>& answered_orders() const { return answered_; }

 private:
  void CallOnce(DeskMesh& mesh, int ingress, const std::string& name,
                bool is_order) {
    const HttpRequest request =
        is_order ? DeskMesh::Order(name) : DeskMesh::Item(name, "");
    const auto response = mesh.Call(ingress, request, kDeadline);
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string verdict = VerdictOf(response);
    if (verdict != "ran") {
      call_counts_[verdict + " " + ReasonOf(response)] += 1;
      return;
    }
    call_counts_["ran"] += 1;
    if (is_order) {
      answered_.push_back(name);
    }
  }

  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::map<std::string, int> call_counts_;
  std::vector<std::string> answered_;
};

/** Asserts from the targets' run logs that no run was cut off, that no order
    ran twice and that each answered order ran. */
void CheckRunLogs(const DeskMesh& mesh, const Callers& callers) {
  std::map<std::string, int> finished;
  for (int vm = 0; vm < mesh.size(); ++vm) {
    for (const test::LoggedRun& it : mesh.Runs(vm)) {
      CPPUNIT_ASSERT_MESSAGE("a run was cut off", it.event != "cut");
      if (it.event == "finish" && !it.key.empty()) {
        finished[it.key] += 1;
      }
    }
  }
  for (const auto& [key, times] : finished) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("order " + key, 1, times);
  }
  for (const std::string& it : callers.answered_orders()) {
    CPPUNIT_ASSERT_MESSAGE("order " + it + " was answered but did not run",
                           finished.count(it) == 1);
  }
}

void CheckAllRan(const char* what, const Callers& callers) {
  std::string text;
  for (const auto& [end, times] : callers.call_counts()) {
    text += " " + std::to_string(times) + " " + end + ";";
  }
  std::printf("%s:%s\n", what, text.c_str());
  CPPUNIT_ASSERT_MESSAGE(text, callers.call_counts().size() == 1 &&
                                   callers.call_counts().count("ran") == 1);
}

class RequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestsTest);
  CPPUNIT_TEST(TestLeavingTargetAbortsNoCall);
  CPPUNIT_TEST(TestLeavingDaemonAbortsNoCall);
  CPPUNIT_TEST(TestTruncatedAnswerIsNotDelivered);
  CPPUNIT_TEST(TestCrashingRequestIsQuarantined);
  CPPUNIT_TEST(TestSilentConnectionCostsAtMostOneCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestLeavingTargetAbortsNoCall() {
    DeskMesh mesh(3, {"--service-ms", "20"});
    Callers callers(mesh, {0, 2}, 8);
    std::this_thread::sleep_for(milliseconds(500));
    const std::int64_t left_at = ToUnixMillis(SystemClock().WallNow());
    mesh.target(1).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mesh.target(1).WaitForEnd().value_or(-1));
    std::this_thread::sleep_for(milliseconds(500));
    callers.Stop();
    std::int64_t last_start = left_at;
    for (const test::LoggedRun& it : mesh.Runs(1)) {
      if (it.event == "start") {
        last_start = std::max(last_start, it.time_ms);
      }
    }
    std::printf("last call started %lld ms after SIGTERM to the target\n",
                static_cast<long long>(last_start - left_at));
    CPPUNIT_ASSERT(last_start - left_at <= kMaxNewWorkMs);
    CheckRunLogs(mesh, callers);
    CheckAllRan("leaving target", callers);
  }

  void TestLeavingDaemonAbortsNoCall() {
    DeskMesh mesh(3, {"--service-ms", "20"});
    Callers callers(mesh, {0, 2}, 8);
    std::this_thread::sleep_for(milliseconds(500));
    mesh.daemon(1).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mesh.daemon(1).WaitForEnd().value_or(-1));
    std::this_thread::sleep_for(milliseconds(500));
    callers.Stop();
    CheckRunLogs(mesh, callers);
    CheckAllRan("leaving daemon", callers);
  }

  void TestTruncatedAnswerIsNotDelivered() {
    DeskMesh mesh(1, {});
    for (const HttpRequest& it :
         {DeskMesh::Item("a", ""), DeskMesh::Order("k-1")}) {
      mesh.Control(0, R"({"truncate": 1})");
      const auto response = mesh.Call(0, it, kDeadline);
      CPPUNIT_ASSERT(response.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), VerdictOf(response));
      CPPUNIT_ASSERT(response.value().body.find("ran_by") == std::string::npos);
    }
  }

  void TestCrashingRequestIsQuarantined() {
    DeskMesh mesh(4, {"--service-ms", "20"});
    for (int vm = 0; vm < mesh.size(); ++vm) {
      mesh.Control(vm, R"({"crash_on": "boom"})");
    }
    Result<HttpResponse> response = Error{};
    for (int i = 0; i < 12; ++i) {
      response =
          mesh.Call(i % mesh.size(), DeskMesh::Item("x", "boom"), kDeadline);
    }
    int ended = 0;
    for (int vm = 0; vm < mesh.size(); ++vm) {
      ended += mesh.target(vm).IsRunning() ? 0 : 1;
    }
    std::printf("crashing request: %d targets ended, then %s %s\n", ended,
                VerdictOf(response).c_str(), ReasonOf(response).c_str());
    CPPUNIT_ASSERT(ended >= 1 && ended <= 2);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), VerdictOf(response));
    const auto other = mesh.Call(0, DeskMesh::Item("y", ""), kDeadline);
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), VerdictOf(other));
  }

  void TestSilentConnectionCostsAtMostOneCall() {
    DeskMesh mesh(1, {});
    const milliseconds deadline(500);
    const auto verdict = [&](const HttpRequest& request) {
      return VerdictOf(mesh.Call(0, request, deadline));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), verdict(DeskMesh::Item("a", "")));
    mesh.Control(0, R"({"silent": true})");
    // At-most-once calls are sent over a new connection.
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), verdict(DeskMesh::Order("s-1")));
    int lost = 0;
    for (int i = 0; i < 6; ++i) {
      lost += verdict(DeskMesh::Item("b", "")) == "ran" ? 0 : 1;
    }
    CPPUNIT_ASSERT_MESSAGE("lost " + std::to_string(lost), lost <= 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsTest);

}  // namespace

}  // namespace cumin

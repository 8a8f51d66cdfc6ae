#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include "support/property.h"
#include "support/test_mesh.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

using std::chrono::milliseconds;

constexpr int kLookups = 200;
constexpr int kSurgeThreads = 30;

constexpr char kMesh[] = R"(
mesh: test
services:
  - name: desk
    operations:
      - {name: stock, method: GET, path: /stock/, runs: idempotent, class: internal}
      - {name: pack, method: GET, path: /packs/, runs: idempotent, class: bulk}
      - {name: price, method: GET, path: /prices/, runs: idempotent, class: interactive}
)";

std::string ContractOf(const std::string& customer) {
  return "customer: " + customer + R"(
rate_per_s: 100000
burst: 10000
concurrency: 16
queue: 64
grants:
  - {service: desk, operation: stock, deadline_ms: 2000, retries: 0}
  - {service: desk, operation: pack, deadline_ms: 2000, retries: 0}
  - {service: desk, operation: price, deadline_ms: 2000, retries: 0}
)";
}

HttpRequest Get(const std::string& customer, const std::string& path) {
  HttpRequest request;
  request.path = path;
  request.headers.Set("Cumin-Customer", customer);
  return request;
}

/** Refusals and latencies of one customer's lookups. */
struct LookupFigures {
  int refused = 0;
  /** The last refusal: the status, a space and the body. */
  std::string refusal;
  Duration p50{0};
  Duration p99{0};
};

std::string DescribeOutcome(const Result<HttpResponse>& response) {
  return response ? std::to_string(response.value().status) + " " +
                        response.value().body
                  : Describe(response.error());
}

LookupFigures RunLookups(test::TestMesh& mesh) {
  const SystemClock clock;
  LookupFigures figures;
  std::vector<Duration> times;
  for (int i = 0; i < kLookups; ++i) {
    const MonoTime start = clock.Now();
    const auto response = mesh.Call(0, Get("quiet", "/stock/7"));
    times.push_back(clock.Now() - start);
    if (!response || response.value().status != 200) {
      figures.refused += 1;
      figures.refusal = DescribeOutcome(response);
    }
  }
  std::sort(times.begin(), times.end());
  figures.p50 = times.at(times.size() / 2);
  figures.p99 = times.at(times.size() * 99 / 100);
  return figures;
}

void Print(const char* name, const LookupFigures& figures) {
  std::printf(
      "quiet customer's lookups, %s: p50 %lld us, p99 %lld us, "
      "%d of %d refused\n",
      name, static_cast<long long>(figures.p50.count()),
      static_cast<long long>(figures.p99.count()), figures.refused, kLookups);
}

class SurgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SurgeTest);
  CPPUNIT_TEST(TestSurgeDoesNotAffectOtherCustomersLookups);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSurgeDoesNotAffectOtherCustomersLookups() {
    test::TestMesh mesh;
    mesh.Publish(
        0,
        {PartEdit{MeshPartName(), kMesh},
         PartEdit{CustomerPartName(CustomerId("quiet")), ContractOf("quiet")},
         PartEdit{CustomerPartName(CustomerId("surge")), ContractOf("surge")}});
    test::TestVm vm;
    vm.name = "vm-0";
    vm.service = "desk";
    vm.target_options = {"--slots", "6", "--service-ms", "10"};
    mesh.Add(vm);
    CPPUNIT_ASSERT(mesh.WaitUntilReady());
    CPPUNIT_ASSERT(test::WaitUntil([&] {
      const auto response = mesh.Call(0, Get("quiet", "/stock/1"));
      return response && response.value().status == 200;
    }));
    // Waits until the target's slow start is over.
    std::this_thread::sleep_for(milliseconds(6000));
    Print("alone", RunLookups(mesh));
    for (const char* path : {"/packs/", "/prices/"}) {
      const LookupFigures figures = RunUnderSurge(mesh, path);
      Print(path, figures);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(figures.refusal, 0, figures.refused);
    }
  }

 private:
  static LookupFigures RunUnderSurge(test::TestMesh& mesh,
                                     const std::string& path) {
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    threads.reserve(kSurgeThreads);
    for (int i = 0; i < kSurgeThreads; ++i) {
      threads.emplace_back([&mesh, &stopping, &path] {
        while (!stopping) {
          mesh.Call(0, Get("surge", path + "x")).has_value();
        }
      });
    }
    std::this_thread::sleep_for(milliseconds(500));
    const LookupFigures figures = RunLookups(mesh);
    stopping = true;
    for (std::thread& it : threads) {
      it.join();
    }
    return figures;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SurgeTest);

}  // namespace

}  // namespace cumin

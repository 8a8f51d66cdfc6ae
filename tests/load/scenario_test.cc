#include "cuminload/scenario.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <string>
#include <vector>

#include "cumin_config/config_snapshot.h"
#include "cuminload/files.h"
#include "cuminload/load_report.h"
#include "cuminload/path_comparison.h"
#include "cuminload/svg_plot.h"

namespace cumin::load {

namespace {

constexpr char kScenario[] =
    "scenario: small\n"
    "duration_s: 2\n"
    "calls:\n"
    "  - name: check\n"
    "    customer: buyers\n"
    "    method: GET\n"
    "    path: /prices/\n"
    "    runs: idempotent\n"
    "    rate_per_s: 5\n";

class ScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScenarioTest);
  CPPUNIT_TEST(TestBadScenariosNameTheField);
  CPPUNIT_TEST(TestExamplesAreValid);
  CPPUNIT_TEST(TestReportCountsCallsOnce);
  CPPUNIT_TEST(TestComparisonIsExact);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestBadScenariosNameTheField() {
    CPPUNIT_ASSERT(ParseScenario(kScenario, "s").has_value());
    struct Case {
      const char* added;
      const char* field;
    };
    for (const Case& it :
         {Case{"workers: 0\n", "workers"}, Case{"colour: red\n", "colour"},
          Case{"entries: [nowhere]\n", "entries"},
          Case{"resend: {attempts: -1}\n", "resend.attempts"},
          Case{"seed: 99999999999999999999\n", "seed"}}) {
      const auto parsed = ParseScenario(kScenario + std::string(it.added), "s");
      CPPUNIT_ASSERT_MESSAGE(it.added, !parsed);
      CPPUNIT_ASSERT_EQUAL(std::string(it.field), parsed.error().field);
      CPPUNIT_ASSERT(parsed.error().line > 0);
    }
    CPPUNIT_ASSERT(!ParseScenario("scenario: none\n", "s"));
  }

  void TestExamplesAreValid() {
    for (const char* it : {"/consortium", "/kowalczyk"}) {
      const std::string folder = CUMIN_EXAMPLES + std::string(it);
      const RefPtr<const ConfigSnapshot> snapshot = LoadExample(folder);
      const std::string file = folder + "/scenario.yaml";
      const Scenario scenario =
          ParseScenario(ReadTextFile(file).value(), file).value();
      for (const ScenarioCall& call : scenario.calls) {
        AssertGranted(*snapshot, call);
      }
    }
  }

  void TestReportCountsCallsOnce() {
    const Scenario scenario = ParseScenario(kScenario, "s").value();
    const std::vector<PlannedCall> planned{
        PlannedCall{0, std::chrono::milliseconds(1), {}, 0},
        PlannedCall{0, std::chrono::milliseconds(1500), {}, 0}};
    std::vector<CallOutcome> outcomes(2);
    outcomes[0].attempts = {
        AttemptOutcome{"a", AttemptEnd::kRan, 200, "", false}};
    outcomes[0].latency = std::chrono::milliseconds(4);
    outcomes[1].planned = 1;
    outcomes[1].attempts = {
        AttemptOutcome{"b", AttemptEnd::kNotRun, 503, "queue-full", false}};
    const LoadReport report =
        MakeReport(scenario, planned, outcomes, VerificationResult{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.total.calls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.seconds.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.seconds[1].ends[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run: queue-full"),
                         report.total.reasons.at(0).reason);
    CPPUNIT_ASSERT(ToText(report).find("verdict: passed") != std::string::npos);
    CPPUNIT_ASSERT(ToJson(report).find("\"calls\":2") != std::string::npos);
    CPPUNIT_ASSERT(PlotReport(report).find("</svg>") != std::string::npos);
  }

  void TestComparisonIsExact() {
    LatencySample sample;
    CPPUNIT_ASSERT(sample.Quantile(0.5) == Duration(0));
    for (int i = 100; i >= 1; --i) {
      sample.Add(Duration(i));
    }
    CPPUNIT_ASSERT(sample.Quantile(0.5) == Duration(50));
    CPPUNIT_ASSERT(sample.Quantile(0.99) == Duration(99));
    CPPUNIT_ASSERT(sample.Quantile(1) == Duration(100));
  }

 private:
  static RefPtr<const ConfigSnapshot> LoadExample(const std::string& folder) {
    const std::string mesh_file = folder + "/mesh.yaml";
    const Mesh mesh =
        ParseMesh(ReadTextFile(mesh_file).value(), mesh_file).value();
    std::vector<Contract> contracts;
    for (const auto& it :
         std::filesystem::directory_iterator(folder + "/contracts")) {
      const std::string file = it.path().string();
      contracts.push_back(
          ParseContract(ReadTextFile(file).value(), file).value());
    }
    return ConfigSnapshot::Make(1, "digest", mesh, contracts).value();
  }

  /** @returns the call's grant, or a grant with a zero deadline when there is
      none */
  static Grant FindGrant(const ConfigSnapshot& snapshot,
                         const ScenarioCall& call, const RouteMatch& route) {
    const Contract* contract = snapshot.FindContract(call.customer);
    const Grant* grant =
        contract == nullptr
            ? nullptr
            : contract->FindGrant(route.service->name, route.operation->name);
    Grant none;
    none.deadline = Duration(0);
    return grant == nullptr ? none : *grant;
  }

  static void AssertGranted(const ConfigSnapshot& snapshot,
                            const ScenarioCall& call) {
    const RouteMatch route = snapshot.FindRoute(call.method, call.path);
    if (route.service == nullptr || route.operation == nullptr) {
      CPPUNIT_FAIL(call.name + " has no route");
      return;
    }
    CPPUNIT_ASSERT(route.operation->repeatability == call.repeatability);
    const Grant grant = FindGrant(snapshot, call, route);
    CPPUNIT_ASSERT_MESSAGE(call.name, grant.deadline >= call.deadline);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);

}  // namespace

}  // namespace cumin::load

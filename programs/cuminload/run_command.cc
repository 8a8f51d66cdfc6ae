#include "cuminload/run_command.h"

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cumin_core/random.h"
#include "cuminload/files.h"
#include "cuminload/load_driver.h"
#include "cuminload/load_report.h"
#include "cuminload/outcome_verifier.h"
#include "cuminload/scenario.h"
#include "cuminload/svg_plot.h"

namespace cumin::load {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

struct RunArguments {
  std::string scenario;
  std::vector<std::string> entries;
  std::vector<std::string> run_logs;
  int duration_s = 0;
  std::uint64_t seed = 0;
  std::string json;
  std::string svg;
  bool check = false;
};

[[noreturn]] void Fail(const Error& error) {
  std::cerr << "cuminload: " << error << '\n';
  throw CLI::RuntimeError(kExitBadInput);
}

template <typename T>
T ValueOrFail(Result<T> result) {
  if (!result) {
    Fail(result.error());
  }
  return std::move(result.value());
}

void WriteOrFail(const std::string& path, const std::string& text) {
  const Result<void> written = WriteTextFile(path, text);
  if (!written) {
    Fail(written.error());
  }
}

Scenario LoadScenario(const RunArguments& arguments) {
  const std::string text = ValueOrFail(ReadTextFile(arguments.scenario));
  Scenario scenario = ValueOrFail(ParseScenario(text, arguments.scenario));
  if (!arguments.entries.empty()) {
    scenario.entries.clear();
  }
  for (const std::string& it : arguments.entries) {
    scenario.entries.push_back(ValueOrFail(ParseEndpoint(it)));
  }
  if (!arguments.run_logs.empty()) {
    scenario.run_logs = arguments.run_logs;
  }
  if (arguments.duration_s > 0) {
    scenario.length = std::chrono::seconds(arguments.duration_s);
  }
  if (arguments.seed > 0) {
    scenario.seed = arguments.seed;
  }
  return scenario;
}

std::vector<RunRecord> ReadRunLogs(const Scenario& scenario) {
  std::vector<RunRecord> records;
  for (const std::string& it : scenario.run_logs) {
    const std::string text = ValueOrFail(ReadTextFile(it));
    for (const RunRecord& record : ValueOrFail(ParseRunLog(text, it))) {
      records.push_back(record);
    }
  }
  return records;
}

void WriteReports(const RunArguments& arguments, const LoadReport& report) {
  std::cout << ToText(report);
  if (!arguments.json.empty()) {
    WriteOrFail(arguments.json, ToJson(report) + "\n");
  }
  if (!arguments.svg.empty()) {
    WriteOrFail(arguments.svg, PlotReport(report));
  }
}

void Run(const RunArguments& arguments) {
  const Scenario scenario = LoadScenario(arguments);
  if (arguments.check) {
    std::cout << arguments.scenario << ": ok\n";
    return;
  }
  if (scenario.entries.empty()) {
    Fail(Error{ErrorCode::kInvalid, arguments.scenario, 0, "entries",
               "must list at least one daemon, here or with --entry"});
  }
  SeededRandom random(scenario.seed);
  const std::vector<PlannedCall> planned =
      PlanArrivals(scenario, scenario.entries.size(), random);
  const SystemClock clock;
  LoadDriver driver(scenario, clock);
  const std::vector<CallOutcome> outcomes = driver.Run(planned);
  const OutcomeVerifier verifier(ReadRunLogs(scenario));
  const VerificationResult verification =
      verifier.Verify(planned, outcomes, !scenario.run_logs.empty());
  WriteReports(arguments,
               MakeReport(scenario, planned, outcomes, verification));
  if (!verification.Passed()) {
    throw CLI::RuntimeError(kExitFailed);
  }
}

}  // namespace

void RegisterRun(CLI::App& app) {
  auto arguments = std::make_shared<RunArguments>();
  CLI::App* run = app.add_subcommand("run",
                                     "Sends a scenario's calls and verifies "
                                     "them against the targets' run logs");
  run->add_option("scenario", arguments->scenario, "scenario file (YAML)")
      ->required();
  run->add_option("--entry", arguments->entries,
                  "address:port of a daemon; overrides the scenario");
  run->add_option("--run-log", arguments->run_logs,
                  "run log of a target; overrides the scenario");
  run->add_option("--duration-s", arguments->duration_s,
                  "length of the run; overrides the scenario");
  run->add_option("--seed", arguments->seed,
                  "seed of times, keys and entries; overrides the scenario");
  run->add_option("--json", arguments->json, "JSON report file to write");
  run->add_option("--svg", arguments->svg, "SVG plot file to write");
  run->add_flag("--check", arguments->check, "check the scenario and exit");
  run->callback([arguments] { Run(*arguments); });
}

}  // namespace cumin::load

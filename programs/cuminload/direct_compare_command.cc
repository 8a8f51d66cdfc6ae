#include "cuminload/direct_compare_command.h"

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cumin_core/random.h"
#include "cuminload/load_driver.h"
#include "cuminload/path_comparison.h"

namespace cumin::load {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr int kDefaultDurationS = 20;
constexpr int kDefaultDeadlineMs = 2000;
constexpr double kDefaultRatePerS = 150;
constexpr int kErrorStatus = 400;
constexpr std::uint64_t kDefaultSeed = 20261204;

struct CompareArguments {
  std::string target;
  std::string near_daemon;
  std::string far_daemon;
  std::string customer;
  std::string path;
  double rate_per_s = kDefaultRatePerS;
  int duration_s = kDefaultDurationS;
  int answer_bytes = 0;
  std::uint64_t seed = kDefaultSeed;
};

Endpoint ParseOrFail(const std::string& text) {
  const Result<Endpoint> parsed = ParseEndpoint(text);
  if (!parsed) {
    std::cerr << "cuminload: " << parsed.error() << '\n';
    throw CLI::RuntimeError(kExitBadInput);
  }
  return parsed.value();
}

/** Makes one kind of idempotent call with a random entry for each call, so that
    all three paths are measured over the same period and conditions. */
Scenario MakeScenario(const CompareArguments& arguments) {
  Scenario scenario;
  scenario.name = "direct-compare";
  scenario.seed = arguments.seed;
  scenario.length = std::chrono::seconds(arguments.duration_s);
  for (const std::string& it :
       {arguments.target, arguments.near_daemon, arguments.far_daemon}) {
    scenario.entries.push_back(ParseOrFail(it));
  }
  ScenarioCall call;
  call.name = "compare";
  call.customer = CustomerId(arguments.customer);
  call.method = "GET";
  call.path = arguments.path;
  call.rate_per_s = arguments.rate_per_s;
  call.deadline = std::chrono::milliseconds(kDefaultDeadlineMs);
  call.answer_bytes = static_cast<std::size_t>(arguments.answer_bytes);
  scenario.calls.push_back(call);
  return scenario;
}

/** A direct call succeeds without a verdict, since only daemons set one. */
bool Succeeded(const CallOutcome& outcome, bool direct) {
  const AttemptOutcome& last = outcome.attempts.back();
  const AttemptEnd wanted = direct ? AttemptEnd::kNoVerdict : AttemptEnd::kRan;
  return last.end == wanted && last.status < kErrorStatus;
}

void Compare(const CompareArguments& arguments) {
  const Scenario scenario = MakeScenario(arguments);
  SeededRandom random(scenario.seed);
  const std::vector<PlannedCall> planned =
      PlanArrivals(scenario, scenario.entries.size(), random);
  const SystemClock clock;
  LoadDriver driver(scenario, clock);
  std::vector<PathResult> paths{
      {"direct", {}, 0}, {"one daemon", {}, 0}, {"two daemons", {}, 0}};
  std::size_t failed = 0;
  for (const CallOutcome& it : driver.Run(planned)) {
    const std::size_t entry = planned[it.planned].entry;
    if (Succeeded(it, entry == 0)) {
      paths[entry].latencies.Add(it.latency);
    } else {
      ++paths[entry].failed;
      ++failed;
    }
  }
  std::cout << "seed " << scenario.seed << '\n' << ComparePaths(paths);
  if (failed > 0) {
    throw CLI::RuntimeError(kExitFailed);
  }
}

}  // namespace

void RegisterDirectCompare(CLI::App& app) {
  auto arguments = std::make_shared<CompareArguments>();
  CLI::App* compare = app.add_subcommand(
      "direct-compare",
      "Measures in one run the latency that one and two daemons add to a "
      "direct call");
  compare->add_option("--target", arguments->target, "address:port")
      ->required();
  compare
      ->add_option("--near", arguments->near_daemon,
                   "address:port of the daemon beside the target")
      ->required();
  compare
      ->add_option("--far", arguments->far_daemon,
                   "address:port of a daemon without this service")
      ->required();
  compare->add_option("--customer", arguments->customer, "calling customer")
      ->required();
  compare
      ->add_option("--path", arguments->path,
                   "path of an idempotent GET operation")
      ->required();
  compare->add_option("--rate", arguments->rate_per_s,
                      "total calls per second over the three paths");
  compare->add_option("--duration-s", arguments->duration_s,
                      "length of the run");
  compare->add_option("--answer-bytes", arguments->answer_bytes,
                      "response size to request, bytes");
  compare->add_option("--seed", arguments->seed, "seed of times and paths");
  compare->callback([arguments] { Compare(*arguments); });
}

}  // namespace cumin::load

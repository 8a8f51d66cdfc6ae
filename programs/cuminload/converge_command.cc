#include "cuminload/converge_command.h"

#include <filesystem>
#include <iostream>
#include <memory>
#include <string>

#include "cumin_core/json_text.h"
#include "cuminload/converge_measure.h"
#include "cuminload/files.h"

namespace cumin::load {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr int kMaxDaemons = 600;
constexpr int kMaxRegions = 16;
constexpr int kMaxChanges = 10000;

struct ConvergeArguments {
  ConvergeLayout layout;
  ConvergePlan plan;
  std::string mode = "both";
  int idle_s = 10;
  std::string report;
};

std::string SiblingProgramPath(const std::string& name) {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path() / name).string();
}

void Print(const ConvergeResult& it) {
  std::cout << it.spread << ": " << it.daemons << " daemons, " << it.changes
            << " changes, " << it.missing << " not in force within the limit\n"
            << "  in force after p50 " << QuantileMs(it.times_ms, 0.5)
            << " ms, p99 " << QuantileMs(it.times_ms, 0.99) << " ms, max "
            << QuantileMs(it.times_ms, 1.0) << " ms\n"
            << "  control bytes per daemon: idle " << it.idle_bytes_per_daemon_s
            << " B/s (highest " << it.idle_bytes_per_daemon_s_max << "), "
            << it.bytes_per_daemon_change << " B a change\n"
            << "  region links: idle " << it.idle_link_bytes_s << " B/s, "
            << it.link_bytes_per_change << " B and "
            << it.link_transfers_per_change << " transfers a change\n"
            << "  store calls: idle " << it.idle_store_calls_s << " /s, "
            << it.store_calls_per_change << " a change, the operator's "
            << it.operator_calls_per_change << " not counted\n"
            << "  memory: highest " << it.resident_mb_max << " MB\n";
}

void Run(const ConvergeArguments& arguments) {
  Json::Value report(Json::arrayValue);
  bool complete = true;
  for (const std::string mode : {"tree", "watch-all"}) {
    const bool wanted = arguments.mode == "both" || arguments.mode == mode;
    if (!wanted) {
      continue;
    }
    ConvergeLayout layout = arguments.layout;
    layout.spread = mode;
    layout.folder += "/" + mode;
    const Result<ConvergeResult> result =
        MeasureConvergence(layout, arguments.plan);
    if (!result) {
      std::cerr << "cuminload: " << result.error() << '\n';
      throw CLI::RuntimeError(kExitBadInput);
    }
    Print(result.value());
    report.append(ToJson(result.value()));
    complete = complete && result.value().missing == 0;
  }
  if (!arguments.report.empty()) {
    const Result<void> written =
        WriteTextFile(arguments.report, ToJsonText(report) + "\n");
    if (!written) {
      std::cerr << "cuminload: " << written.error() << '\n';
      throw CLI::RuntimeError(kExitBadInput);
    }
  }
  if (!complete) {
    throw CLI::RuntimeError(kExitFailed);
  }
}

}  // namespace

void RegisterConverge(CLI::App& app) {
  const auto arguments = std::make_shared<ConvergeArguments>();
  ConvergeLayout& layout = arguments->layout;
  layout.cumind = SiblingProgramPath("cumind");
  layout.store = SiblingProgramPath("tests/store_standin");
  CLI::App* command = app.add_subcommand(
      "converge",
      "Starts daemons, changes the configuration and measures the time until "
      "each change is in force on all of them");
  command->add_option("--daemons", layout.daemons, "number of daemons to start")
      ->check(CLI::Range(1, kMaxDaemons));
  command
      ->add_option("--regions", layout.regions,
                   "number of regions to distribute them over")
      ->check(CLI::Range(1, kMaxRegions));
  command
      ->add_option("--changes", arguments->plan.changes,
                   "number of changes to make")
      ->check(CLI::Range(1, kMaxChanges));
  command
      ->add_option("--mode", arguments->mode,
                   "tree, watch-all (every daemon watches the store) or both")
      ->check(CLI::IsMember({"tree", "watch-all", "both"}));
  command->add_option("--idle", arguments->idle_s,
                      "duration of the idle measurement, s");
  command->add_option("--report", arguments->report, "JSON file to write");
  command->add_option("--cumind", layout.cumind,
                      "path of the daemon's program");
  command->add_option("--store", layout.store, "path of the store's program");
  command->add_option("--folder", layout.folder, "folder for settings and logs")
      ->required();
  command->callback([arguments] {
    arguments->plan.idle = std::chrono::seconds(arguments->idle_s);
    Run(*arguments);
  });
}

}  // namespace cumin::load

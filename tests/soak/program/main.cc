// Runs the fault soak from the command line, for many seeds and longer runs;
// the logs of failed runs are kept.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <random>
#include <string>

#include "soak/soak_run.h"

int main(int argc, char** argv) {
  int seeds = 1;
  std::uint64_t first = 0;
  int length_s = 8;
  std::string folder = "soak";
  cumin::test::FaultPlan plan;
  CLI::App app{
      "injects faults into a mesh of daemon processes and checks its "
      "guarantees"};
  app.add_option("--seeds", seeds, "number of runs")
      ->check(CLI::Range(1, 10000));
  app.add_option("--first", first, "seed of the first run; 0 for a random one");
  app.add_option("--vms", plan.vms, "VMs in a run")->check(CLI::Range(2, 100));
  app.add_option("--length", length_s,
                 "seconds during which faults are injected")
      ->check(CLI::Range(1, 3600));
  app.add_option("--faults", plan.faults, "least number of faults in a run")
      ->check(CLI::Range(1, 10000));
  app.add_option("--folder", folder, "folder for settings and logs");
  CLI11_PARSE(app, argc, argv);
  plan.length = std::chrono::seconds(length_s);
  if (first == 0) {
    first = std::random_device{}();
  }
  int failed = 0;
  for (int i = 0; i < seeds; ++i) {
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    const std::string run_folder = folder + "/" + std::to_string(seed);
    std::filesystem::create_directories(run_folder);
    const cumin::test::SoakReport report =
        cumin::test::RunSoak(plan, seed, run_folder);
    std::cout << report.Text() << std::flush;
    if (report.violations.empty()) {
      std::filesystem::remove_all(run_folder);
    } else {
      failed += 1;
    }
  }
  std::cout << seeds - failed << " runs passed, " << failed << " failed"
            << std::endl;
  return failed == 0 ? 0 : 1;
}

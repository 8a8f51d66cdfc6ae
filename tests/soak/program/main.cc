// Runs the fault soak by hand: many seeds, longer runs, logs that stay.

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
  CLI::App app{"strikes a mesh of real daemons with faults from outside"};
  app.add_option("--seeds", seeds, "how many runs")
      ->check(CLI::Range(1, 10000));
  app.add_option("--first", first, "seed of the first run; 0 draws one");
  app.add_option("--vms", plan.vms, "VMs of a run")->check(CLI::Range(2, 100));
  app.add_option("--length", length_s, "seconds with faults in a run")
      ->check(CLI::Range(1, 3600));
  app.add_option("--faults", plan.faults, "faults of a run")
      ->check(CLI::Range(1, 10000));
  app.add_option("--folder", folder, "gets settings and logs");
  CLI11_PARSE(app, argc, argv);
  plan.length = std::chrono::seconds(length_s);
  if (first == 0) {
    first = std::random_device{}();
  }
  int failed = 0;
  for (int i = 0; i < seeds; ++i) {
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    const std::string of_run = folder + "/" + std::to_string(seed);
    std::filesystem::create_directories(of_run);
    const cumin::test::SoakReport report =
        cumin::test::RunSoak(plan, seed, of_run);
    std::cout << report.Text() << std::flush;
    if (report.broken.empty()) {
      std::filesystem::remove_all(of_run);
    } else {
      failed += 1;
    }
  }
  std::cout << seeds - failed << " runs kept every promise, " << failed
            << " did not" << std::endl;
  return failed == 0 ? 0 : 1;
}

// cuminload: generates load on a mesh and verifies the outcomes of the calls.

#include <CLI/CLI.hpp>

#include "cuminload/converge_command.h"
#include "cuminload/direct_compare_command.h"
#include "cuminload/run_command.h"

int main(int argc, char** argv) {
  CLI::App app{
      "cuminload - generates load on a mesh and verifies the outcomes\n"
      "Exit status: 0 passed, 1 failed, 2 bad input"};
  app.set_version_flag("--version", CUMIN_VERSION);
  app.require_subcommand(1);
  cumin::load::RegisterRun(app);
  cumin::load::RegisterDirectCompare(app);
  cumin::load::RegisterConverge(app);
  CLI11_PARSE(app, argc, argv);
  return 0;
}

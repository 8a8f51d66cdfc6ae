// cumind: the proxy daemon that runs beside one target VM.

#include <signal.h>  // NOLINT: sigwait is POSIX, not <csignal>.

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "cumin_core/logging.h"
#include "cumin_proxy/daemon.h"

namespace {

constexpr int kExitBadInput = 2;
constexpr int kExitCannotStart = 4;
constexpr int kExitCallsCut = 7;

/** Blocks SIGTERM and SIGINT in this thread and the threads that it starts, so
    that only WaitForTermination receives them. */
sigset_t BlockTerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

void WaitForTermination(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

int Run(const cumin::DaemonSettings& settings) {
  const sigset_t signals = BlockTerminationSignals();
  cumin::Daemon daemon(settings);
  const cumin::Result<cumin::Endpoint> bound = daemon.Start();
  if (!bound) {
    std::cerr << "cumind: " << bound.error() << '\n';
    return kExitCannotStart;
  }
  std::cout << "listening " << bound.value() << std::endl;
  WaitForTermination(signals);
  return daemon.Drain() == 0 ? 0 : kExitCallsCut;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "cumind - the cuminproxy daemon beside one target VM\n"
      "Exit status: 0 ended cleanly, 2 bad settings, 4 cannot start, "
      "7 calls were cut by the drain limit"};
  app.set_version_flag("--version", CUMIN_VERSION);
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "settings file (YAML)")->required();
  app.add_flag("--check", check, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const auto settings = cumin::LoadDaemonSettings(path);
  if (!settings) {
    std::cerr << "cumind: " << settings.error() << '\n';
    return kExitBadInput;
  }
  if (check) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  const auto logging = cumin::StartLogging("cumind", settings.value().vm.str(),
                                           settings.value().log_level);
  if (!logging) {
    std::cerr << "cumind: " << logging.error() << '\n';
    return kExitBadInput;
  }
  return Run(settings.value());
}

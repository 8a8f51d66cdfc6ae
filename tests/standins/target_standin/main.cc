// Runs TargetStandin, the stand-in for a customer's target, as a process.

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "cumin_core/time.h"
#include "standins/support/program.h"
#include "standins/target_standin/announcer.h"
#include "standins/target_standin/run_log.h"
#include "standins/target_standin/target_standin.h"

namespace {

using cumin::Duration;
using cumin::Endpoint;
using cumin::Result;
using cumin::test::TargetOptions;

constexpr int kExitBadInput = 2;
constexpr int kExitCallsUnfinished = 7;
constexpr int kDefaultAnnounceMs = 1000;
constexpr int kDefaultLingerMs = 500;
constexpr int kDefaultDrainMs = 20000;

struct Arguments {
  std::string listen = "127.0.0.1:0";
  std::string daemon;
  std::string log;
  int cold_start_ms = 0;
  int service_ms = 5;
  int health_lag_ms = 0;
  int announce_every_ms = kDefaultAnnounceMs;
  int linger_ms = kDefaultLingerMs;
  int drain_ms = kDefaultDrainMs;
  TargetOptions options;
};

Duration Millis(int n) { return std::chrono::milliseconds(n); }

void AddOptions(CLI::App& app, Arguments* out) {
  app.set_version_flag("--version", CUMIN_VERSION);
  app.add_option("--listen", out->listen,
                 "address:port; port 0 picks a free port");
  app.add_option("--daemon", out->daemon,
                 "address:port of the daemon to announce to");
  app.add_option("--service", out->options.service, "the service's name")
      ->required();
  app.add_option("--slots", out->options.slots,
                 "maximum number of concurrent calls");
  app.add_option("--cold-start-ms", out->cold_start_ms,
                 "time from the start until calls are accepted");
  app.add_option("--service-ms", out->service_ms, "duration of each call");
  app.add_option("--log", out->log, "path of the run log");
  app.add_option("--announce-every-ms", out->announce_every_ms,
                 "interval between announcements");
  app.add_option("--health-lag-ms", out->health_lag_ms,
                 "age of the reported load");
  app.add_flag("--lie", out->options.always_report_idle,
               "always report ready and idle");
  app.add_option("--linger-ms", out->linger_ms,
                 "time from the announcement of the shutdown until the drain "
                 "timeout starts");
  app.add_option(
      "--drain-ms", out->drain_ms,
      "maximum wait for running calls to finish after the linger time");
}

int Run(const Arguments& arguments) {
  const Result<Endpoint> listen =
      cumin::test::ParseListenAddress(arguments.listen);
  const Result<Endpoint> daemon = arguments.daemon.empty()
                                      ? Result<Endpoint>(Endpoint{})
                                      : cumin::ParseEndpoint(arguments.daemon);
  if (!listen || !daemon) {
    std::cerr << (listen ? daemon.error() : listen.error()) << std::endl;
    return kExitBadInput;
  }
  const cumin::test::TerminationSignals termination_signals;
  const cumin::SystemClock clock;
  cumin::test::RunLog log(arguments.log);
  cumin::test::TargetStandin target(arguments.options, log, clock);
  cumin::test::RawListener listener(target);
  const Result<Endpoint> bound = listener.Start(listen.value());
  if (!bound) {
    std::cerr << bound.error() << std::endl;
    return 1;
  }
  target.set_address(ToString(bound.value()));
  std::cout << "listening " << bound.value() << std::endl;
  std::unique_ptr<cumin::test::Announcer> announcer;
  if (!arguments.daemon.empty()) {
    announcer = std::make_unique<cumin::test::Announcer>(
        target, daemon.value(), arguments.options.service, bound.value(),
        Millis(arguments.announce_every_ms));
  }
  termination_signals.Wait();
  target.StartDraining();
  if (announcer) {
    announcer->Announce();
    // Calls that the daemon sent before it processed the announcement may still
    // arrive.
    std::this_thread::sleep_for(Millis(arguments.linger_ms));
  }
  return target.WaitUntilIdle(Millis(arguments.drain_ms))
             ? 0
             : kExitCallsUnfinished;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for a customer's target"};
  Arguments arguments;
  AddOptions(app, &arguments);
  CLI11_PARSE(app, argc, argv);
  arguments.options.cold_start = Millis(arguments.cold_start_ms);
  arguments.options.service_time = Millis(arguments.service_ms);
  arguments.options.health_delay = Millis(arguments.health_lag_ms);
  return Run(arguments);
}

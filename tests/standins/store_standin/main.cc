// Runs StoreStandin, the stand-in for the platform's store, as a process.

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "cumin_core/time.h"
#include "cumin_rpc/http_server.h"
#include "standins/store_standin/store_standin.h"
#include "standins/support/program.h"

namespace {

constexpr int kReadsPerSecond = 2000;
constexpr int kWritesPerSecond = 400;
/** Each blocking watch occupies a thread. */
constexpr unsigned kMaxThreads = 768;

}  // namespace

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  int reads = kReadsPerSecond;
  int writes = kWritesPerSecond;
  CLI::App app{"In-memory stand-in for the platform's key-value store"};
  app.set_version_flag("--version", CUMIN_VERSION);
  app.add_option("--listen", listen, "address:port; port 0 picks a free port");
  app.add_option("--rate-reads", reads, "reads per second before 429");
  app.add_option("--rate-writes", writes, "writes per second before 429");
  CLI11_PARSE(app, argc, argv);

  const auto address = cumin::test::ParseListenAddress(listen);
  if (!address) {
    std::cerr << address.error() << std::endl;
    return 2;
  }
  const cumin::test::TerminationSignals termination_signals;
  const cumin::SystemClock clock;
  cumin::test::StoreStandin standin(clock, reads, writes);
  cumin::HttpServerOptions options;
  options.max_threads = kMaxThreads;
  cumin::HttpServer server(standin, options);
  const auto bound = server.Start(address.value());
  if (!bound) {
    std::cerr << bound.error() << std::endl;
    return 1;
  }
  std::cout << "listening " << bound.value() << std::endl;
  termination_signals.Wait();
  standin.Shutdown();
  server.Stop();
  return 0;
}

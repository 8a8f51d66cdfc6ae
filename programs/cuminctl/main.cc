// cuminctl: changes the configuration and reports the version in force on each
// daemon.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_store/http_store.h"
#include "cuminctl/change_commands.h"
#include "cuminctl/explain_command.h"
#include "cuminctl/read_commands.h"
#include "cuminctl/status_command.h"

namespace {

using cumin::ConfigSource;
using cumin::Endpoint;
using cumin::Error;
using cumin::ErrorCode;
using cumin::ExitCode;
using cumin::Output;
using cumin::Result;

constexpr int kDefaultTimeoutMs = 2000;
constexpr std::uint64_t kDefaultHistoryLimit = 20;

/** Parsed command-line options. */
struct Options {
  std::string store;
  std::vector<std::string> daemons;
  std::string output = "text";
  int timeout_ms = kDefaultTimeoutMs;

  std::vector<std::string> files;
  std::vector<std::string> removed_customers;
  std::uint64_t based_on = 0;
  std::string author;
  std::string note;
  std::string change_id;
  std::string at;
  std::uint64_t limit = kDefaultHistoryLimit;
  std::uint64_t first_version = 0;
  std::uint64_t second_version = 0;
  std::string attempt;
};

/** Clients of the store and the daemons given in the options; null for those
    not given. */
struct Connections {
  std::unique_ptr<cumin::HttpStore> store;
  std::unique_ptr<cumin::DaemonClient> daemons;
  std::unique_ptr<cumin::StoreSource> store_source;
  std::unique_ptr<cumin::DaemonSource> daemon_source;
};

Result<Connections> Connect(const Options& options) {
  const cumin::Duration timeout = std::chrono::milliseconds(options.timeout_ms);
  Connections made;
  if (!options.store.empty()) {
    const Result<Endpoint> store = cumin::ParseEndpoint(options.store);
    if (!store) {
      return store.error();
    }
    made.store = std::make_unique<cumin::HttpStore>(store.value(), timeout);
    made.store_source = std::make_unique<cumin::StoreSource>(*made.store);
  }
  std::vector<Endpoint> daemons;
  for (const std::string& it : options.daemons) {
    const Result<Endpoint> daemon = cumin::ParseEndpoint(it);
    if (!daemon) {
      return daemon.error();
    }
    daemons.push_back(daemon.value());
  }
  if (!daemons.empty()) {
    made.daemons = std::make_unique<cumin::DaemonClient>(daemons, timeout);
    made.daemon_source = std::make_unique<cumin::DaemonSource>(*made.daemons);
  }
  return made;
}

/** Prefers the store, which keeps every version, and falls back to the daemons
    when it does not respond. */
cumin::FallbackSource MakeFallbackSource(const Connections& connections) {
  std::vector<ConfigSource*> sources;
  if (connections.store_source) {
    sources.push_back(connections.store_source.get());
  }
  if (connections.daemon_source) {
    sources.push_back(connections.daemon_source.get());
  }
  return cumin::FallbackSource(sources);
}

Error RequiredOption(const std::string& option) {
  return Error{ErrorCode::kInvalid, "", 0, option, "is required"};
}

ExitCode RunChange(const Options& options, const Connections& connections,
                   bool is_rollback, const Output& output) {
  if (!connections.store) {
    return output.Fail(RequiredOption("--store"));
  }
  cumin::ChangeRequest request;
  request.change_id = cumin::ChangeId(options.change_id);
  request.based_on = options.based_on;
  request.author = options.author;
  request.note = options.note;
  request.accepted_at = cumin::SystemClock().WallNow();
  if (is_rollback) {
    request.rollback_to = options.first_version;
  }
  for (const std::string& it : options.removed_customers) {
    const cumin::CustomerId customer(it);
    request.edits.push_back({cumin::CustomerPartName(customer), std::nullopt});
  }
  std::random_device device;
  cumin::SeededRandom random((std::uint64_t{device()} << 32) | device());
  return cumin::RunChange(request, options.files, *connections.store, random,
                          output);
}

ExitCode RunStatus(const Options& options, const Connections& connections,
                   const Output& output) {
  if (!connections.daemons) {
    return output.Fail(RequiredOption("--daemon"));
  }
  return cumin::RunStatus(*connections.daemons, connections.store_source.get(),
                          options.at, cumin::SystemClock().WallNow(), output);
}

ExitCode RunValidate(const Options& options, const Connections& connections,
                     const Output& output) {
  const bool offline = !connections.store && !connections.daemons;
  cumin::FallbackSource source = MakeFallbackSource(connections);
  return cumin::RunValidate(options.files, offline ? nullptr : &source, output);
}

ExitCode RunCommand(const CLI::App& app, const Options& options) {
  const Output output(options.output == "json");
  if (app.got_subcommand("explain")) {
    return cumin::RunExplain(options.attempt, options.files, output);
  }
  const Result<Connections> connected = Connect(options);
  if (!connected) {
    return output.Fail(connected.error());
  }
  const Connections& connections = connected.value();
  if (app.got_subcommand("validate")) {
    return RunValidate(options, connections, output);
  }
  if (app.got_subcommand("status")) {
    return RunStatus(options, connections, output);
  }
  cumin::FallbackSource source = MakeFallbackSource(connections);
  if (app.got_subcommand("history")) {
    return cumin::RunHistory(source, options.limit, output);
  }
  if (app.got_subcommand("diff")) {
    return cumin::RunDiff(source, options.first_version, options.second_version,
                          output);
  }
  return RunChange(options, connections, app.got_subcommand("rollback"),
                   output);
}

void AddChangeOptions(CLI::App& command, Options& options) {
  command
      .add_option("--based-on", options.based_on,
                  "the version that the change is based on; 0 for an empty "
                  "store")
      ->required();
  command.add_option("--author", options.author, "author of the change")
      ->required();
  command
      .add_option("--note", options.note, "reason for the change, in one line")
      ->required();
  command.add_option("--change-id", options.change_id,
                     "id of an earlier attempt whose outcome is unknown");
}

void AddCommands(CLI::App& app, Options& options) {
  const CLI::Range versions(std::uint64_t{1}, std::uint64_t{1} << 62);
  CLI::App* validate = app.add_subcommand(
      "validate",
      "Validate documents; with --store or --daemon, also the complete "
      "configuration that would result");
  validate->add_option("files", options.files, "mesh or contract files")
      ->required();

  CLI::App* apply = app.add_subcommand(
      "apply", "Create the next version from changed documents");
  apply->add_option("files", options.files, "mesh or contract files");
  apply
      ->add_option("--remove-customer", options.removed_customers,
                   "customer whose contract to remove; repeatable")
      ->allow_extra_args(false);
  AddChangeOptions(*apply, options);

  CLI::App* rollback = app.add_subcommand(
      "rollback", "Create the next version from the content of an earlier one");
  rollback->add_option("version", options.first_version, "the earlier version")
      ->required()
      ->check(versions);
  AddChangeOptions(*rollback, options);

  CLI::App* status = app.add_subcommand(
      "status", "Show the version in force on each daemon; needs --daemon");
  status->add_option("--at", options.at,
                     "also show the version in force at this time: 02:10, "
                     "02:10+08:00 or 2026-12-04T02:10:07Z; UTC by default");

  CLI::App* history =
      app.add_subcommand("history", "List versions with author, time and note");
  history
      ->add_option("--limit", options.limit,
                   "maximum number of versions to list")
      ->check(CLI::Range(1, 10000));

  CLI::App* explain = app.add_subcommand(
      "explain", "Explain the result of one attempt from log files");
  explain->add_option("id", options.attempt, "the attempt's id")->required();
  explain->add_option("files", options.files,
                      "log files of any daemons; default: standard input");

  CLI::App* diff =
      app.add_subcommand("diff", "Show the differences between two versions");
  diff->add_option("from", options.first_version, "the earlier version")
      ->required()
      ->check(versions);
  diff->add_option("to", options.second_version, "the later version")
      ->required()
      ->check(versions);
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app{
      "cuminctl - change the mesh's configuration and show the version in "
      "force"};
  app.footer(cumin::kExitCodeHelp);
  app.set_version_flag("--version", CUMIN_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--store", options.store, "address:port of the store")
      ->envname("CUMIN_STORE");
  app.add_option("--daemon", options.daemons,
                 "address:port of a daemon; repeatable, daemons are tried in "
                 "order")
      ->envname("CUMIN_DAEMON")
      ->delimiter(',')
      ->allow_extra_args(false);
  app.add_option("--output", options.output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--timeout-ms", options.timeout_ms,
                 "time limit for a response from the store or a daemon")
      ->check(CLI::Range(1, 600000));
  AddCommands(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? cumin::kExitOk : cumin::kExitInvalid;
  }
  return RunCommand(app, options);
}

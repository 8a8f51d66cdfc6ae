// cuminctl: changes the configuration and reads back what is in force where.

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
constexpr std::uint64_t kDefaultHistory = 20;

/** The command line. */
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
  std::uint64_t limit = kDefaultHistory;
  std::uint64_t first_version = 0;
  std::uint64_t second_version = 0;
  std::string attempt;
};

/** The processes that the options name. */
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

/** The store first, since it knows every version; daemons when it is out. */
cumin::FallbackSource AnySource(const Connections& connections) {
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
  cumin::FallbackSource source = AnySource(connections);
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
  cumin::FallbackSource source = AnySource(connections);
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
                  "the version you have seen; 0 for an empty store")
      ->required();
  command.add_option("--author", options.author, "who makes the change")
      ->required();
  command.add_option("--note", options.note, "why, in one line")->required();
  command.add_option("--change-id", options.change_id,
                     "the id of an earlier attempt whose outcome is unknown");
}

void AddCommands(CLI::App& app, Options& options) {
  const CLI::Range versions(std::uint64_t{1}, std::uint64_t{1} << 62);
  CLI::App* validate = app.add_subcommand(
      "validate", "Check documents, and the whole with --store or --daemon");
  validate->add_option("files", options.files, "a mesh or contract each")
      ->required();

  CLI::App* apply = app.add_subcommand(
      "apply", "Make the next version out of changed documents");
  apply->add_option("files", options.files, "a mesh or contract each");
  apply
      ->add_option("--remove-customer", options.removed_customers,
                   "a customer whose contract ends; may be given several times")
      ->allow_extra_args(false);
  AddChangeOptions(*apply, options);

  CLI::App* rollback = app.add_subcommand(
      "rollback", "Make the next version out of an earlier one's content");
  rollback->add_option("version", options.first_version, "the earlier version")
      ->required()
      ->check(versions);
  AddChangeOptions(*rollback, options);

  CLI::App* status = app.add_subcommand(
      "status", "Say which version is in force where; needs --daemon");
  status->add_option("--at", options.at,
                     "a time from a note: 02:10, 02:10+08:00 or "
                     "2026-12-04T02:10:07Z; UTC unless it says otherwise");

  CLI::App* history =
      app.add_subcommand("history", "Say who changed what when");
  history->add_option("--limit", options.limit, "the most versions to list")
      ->check(CLI::Range(1, 10000));

  CLI::App* explain = app.add_subcommand(
      "explain", "Say from log files why one attempt ended as it did");
  explain->add_option("id", options.attempt, "the attempt's id")->required();
  explain->add_option("files", options.files,
                      "log files of any daemons; standard input without them");

  CLI::App* diff =
      app.add_subcommand("diff", "Say what two versions configure differently");
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
      "cuminctl - change the mesh's configuration and read back what is in "
      "force"};
  app.footer(cumin::kExitCodeHelp);
  app.set_version_flag("--version", CUMIN_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--store", options.store, "the store, address:port")
      ->envname("CUMIN_STORE");
  app.add_option(
         "--daemon", options.daemons,
         "a daemon, address:port; may be given several times, and each is "
         "tried in turn")
      ->envname("CUMIN_DAEMON")
      ->delimiter(',')
      ->allow_extra_args(false);
  app.add_option("--output", options.output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--timeout-ms", options.timeout_ms,
                 "longest silence from the store or a daemon")
      ->check(CLI::Range(1, 600000));
  AddCommands(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? cumin::kExitOk : cumin::kExitInvalid;
  }
  return RunCommand(app, options);
}

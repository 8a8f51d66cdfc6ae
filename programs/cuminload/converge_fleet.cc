#include "cuminload/converge_fleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "cumin_core/json_text.h"
#include "cumin_rpc/http_client.h"

namespace cumin::load {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(50);
constexpr int kMaxStartPolls = 600;
constexpr Duration kReadTimeout = std::chrono::seconds(5);
constexpr int kFailureDomains = 2;
constexpr int kFilePermissions = 0644;
constexpr int kExecFailedStatus = 127;

Result<std::string> Fetch(const Endpoint& server, const std::string& path) {
  HttpRequest request;
  request.path = path;
  HttpClient client(server);
  Result<HttpResponse> response =
      client.Exchange(request, kReadTimeout, ConnectionUse::kFreshOnly);
  if (!response) {
    return response.error();
  }
  return std::move(response.value().body);
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::uint64_t ResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      std::uint64_t kb = 0;
      status >> kb;
      return kb;
    }
  }
  return 0;
}

void Redirect(const std::string& path, int target) {
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kFilePermissions);
  dup2(file, target);
  close(file);
}

}  // namespace

ConvergeFleet::ConvergeFleet(ConvergeLayout layout)
    : layout_(std::move(layout)) {}

ConvergeFleet::~ConvergeFleet() {
  for (const Process& it : daemons_) {
    Terminate(it, SIGKILL);
  }
  Terminate(store_process_, SIGKILL);
}

Result<void> ConvergeFleet::Start() {
  std::filesystem::create_directories(layout_.folder);
  Result<Process> store = Launch("store", {layout_.store});
  if (!store) {
    return store.error();
  }
  store_process_ = store.value();
  const Result<void> listening = AwaitListeningAddress(&store_process_);
  if (!listening) {
    return listening;
  }
  store_ = store_process_.endpoint;
  for (int i = 0; i < layout_.daemons; ++i) {
    const std::string settings = WriteSettings(i);
    Result<Process> daemon = Launch("vm-" + std::to_string(i),
                                    {layout_.cumind, "--settings", settings});
    if (!daemon) {
      return daemon.error();
    }
    daemons_.push_back(daemon.value());
  }
  for (Process& it : daemons_) {
    const Result<void> started = AwaitListeningAddress(&it);
    if (!started) {
      return started;
    }
  }
  return Ok();
}

std::vector<DaemonSample> ConvergeFleet::Sample() const {
  std::vector<DaemonSample> samples;
  samples.reserve(daemons_.size());
  for (const Process& it : daemons_) {
    samples.push_back(SampleDaemon(it));
  }
  return samples;
}

Result<std::uint64_t> ConvergeFleet::StoreCalls() const {
  const Result<std::string> text = Fetch(store_, "/standin/stats");
  if (!text) {
    return text.error();
  }
  const Result<Json::Value> stats = ParseJson(text.value(), "store stats");
  if (!stats) {
    return stats.error();
  }
  return std::uint64_t{stats.value()["total"].asUInt64()};
}

Result<ConvergeFleet::Process> ConvergeFleet::Launch(
    const std::string& name, const std::vector<std::string>& command) const {
  const std::string base = layout_.folder + "/" + name;
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& it : command) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) {
    return Error{ErrorCode::kUnavailable, name, 0, "", "cannot fork"};
  }
  if (pid == 0) {
    Redirect(base + ".out", STDOUT_FILENO);
    Redirect(base + ".err", STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(kExecFailedStatus);
  }
  Process process;
  process.pid = pid;
  process.name = name;
  return process;
}

Result<void> ConvergeFleet::AwaitListeningAddress(Process* process) const {
  const std::string path = layout_.folder + "/" + process->name + ".out";
  for (int i = 0; i < kMaxStartPolls; ++i) {
    std::ifstream file(path);
    std::string word;
    std::string address;
    if (file >> word >> address && word == "listening") {
      const Result<Endpoint> endpoint = ParseEndpoint(address);
      if (endpoint) {
        process->endpoint = endpoint.value();
        return Ok();
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return Error{ErrorCode::kUnavailable, process->name, 0, "",
               "did not report its listening address within 30 s; see " + path};
}

std::string ConvergeFleet::WriteSettings(int index) const {
  const std::string vm = "vm-" + std::to_string(index);
  std::string path = layout_.folder + "/" + vm + ".yaml";
  std::ofstream file(path);
  file << "vm: " << vm << "\nregion: region-" << index % layout_.regions
       << "\nfailure_domain: domain-"
       << index / layout_.regions % kFailureDomains
       << "\nlisten: 127.0.0.1:0\nstore: " << store_
       << "\nstore_region: region-0\nspread: " << layout_.spread << '\n';
  return path;
}

DaemonSample ConvergeFleet::SampleDaemon(const Process& process) const {
  DaemonSample sample;
  const Result<std::string> text = Fetch(process.endpoint, "/-/metrics");
  if (!text) {
    return sample;
  }
  std::istringstream lines(text.value());
  std::string name;
  std::string value;
  while (lines >> name >> value) {
    const std::uint64_t number = std::strtoull(value.c_str(), nullptr, 10);
    if (name == "config_version") {
      sample.version = number;
    } else if (name == "config_in_force_since_ms") {
      sample.in_force_since_ms = static_cast<std::int64_t>(number);
    } else if (name == "control_sent_bytes" ||
               name == "control_received_bytes") {
      sample.control_bytes += number;
    } else if (name == "config_region_transfers_total") {
      sample.region_transfers = number;
    } else if (StartsWith(name, "region_link_")) {
      sample.region_link_bytes += number;
    }
  }
  sample.resident_kb = ResidentKb(process.pid);
  return sample;
}

void ConvergeFleet::Terminate(const Process& process, int signal) {
  if (process.pid > 0) {
    kill(process.pid, signal);
    waitpid(process.pid, nullptr, 0);
  }
}

}  // namespace cumin::load

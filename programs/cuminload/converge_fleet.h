#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/time.h"

namespace cumin::load {

/** How a measured fleet is laid out. */
struct ConvergeLayout {
  int daemons = 20;
  int regions = 3;
  /** "tree" or "watch-all", as in a daemon's settings. */
  std::string spread = "tree";
  std::string cumind;
  std::string store;
  /** Where settings and logs are written. */
  std::string folder;
};

/** Numbers that a daemon's metrics show. */
struct DaemonSample {
  std::uint64_t version = 0;
  std::int64_t in_force_since_ms = 0;
  std::uint64_t control_bytes = 0;
  std::uint64_t region_link_bytes = 0;
  std::uint64_t region_transfers = 0;
  std::uint64_t resident_kb = 0;
};

/** Starts a store and a fleet of daemons as processes on the loopback
    interface, and ends them with itself. */
class ConvergeFleet {
 public:
  explicit ConvergeFleet(ConvergeLayout layout);
  ~ConvergeFleet();
  ConvergeFleet(const ConvergeFleet&) = delete;
  ConvergeFleet& operator=(const ConvergeFleet&) = delete;

  /** Starts every process and waits until each says where it listens. */
  Result<void> Start();

  /** @returns the daemons' metrics; one that does not answer counts zeros */
  std::vector<DaemonSample> Sample() const;

  /** @returns the calls that the store has counted */
  Result<std::uint64_t> StoreCalls() const;

  const Endpoint& store() const { return store_; }

 private:
  struct Process {
    pid_t pid = -1;
    std::string name;
    Endpoint endpoint;
  };

  Result<Process> Launch(const std::string& name,
                         const std::vector<std::string>& command) const;
  Result<void> AwaitListening(Process* process) const;
  std::string WriteSettings(int index) const;
  DaemonSample SampleOf(const Process& process) const;
  static void End(const Process& process, int signal);

  const ConvergeLayout layout_;
  Process store_process_;
  Endpoint store_;
  std::vector<Process> daemons_;
};

}  // namespace cumin::load

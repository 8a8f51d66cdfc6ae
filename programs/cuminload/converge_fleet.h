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

/** Layout of the fleet under measurement. */
struct ConvergeLayout {
  int daemons = 20;
  int regions = 3;
  /** "tree" or "watch-all", as in a daemon's settings. */
  std::string spread = "tree";
  /** Path of the daemon's program. */
  std::string cumind;
  /** Path of the store's program. */
  std::string store;
  /** Folder for settings and logs. */
  std::string folder;
};

/** Values read from a daemon's metrics. */
struct DaemonSample {
  std::uint64_t version = 0;
  std::int64_t in_force_since_ms = 0;
  std::uint64_t control_bytes = 0;
  std::uint64_t region_link_bytes = 0;
  std::uint64_t region_transfers = 0;
  std::uint64_t resident_kb = 0;
};

/** Runs a store and a fleet of daemons as child processes on the loopback
    interface; the destructor kills them. */
class ConvergeFleet {
 public:
  explicit ConvergeFleet(ConvergeLayout layout);
  ~ConvergeFleet();
  ConvergeFleet(const ConvergeFleet&) = delete;
  ConvergeFleet& operator=(const ConvergeFleet&) = delete;

  /** Starts every process and waits until each reports its listening
      address.
      @returns kUnavailable when a process cannot be started */
  Result<void> Start();

  /** @returns the daemons' metrics; all zero for a daemon that does not respond
   */
  std::vector<DaemonSample> Sample() const;

  /** @returns the total number of calls that the store has received */
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
  Result<void> AwaitListeningAddress(Process* process) const;
  std::string WriteSettings(int index) const;
  DaemonSample SampleDaemon(const Process& process) const;
  static void Terminate(const Process& process, int signal);

  const ConvergeLayout layout_;
  Process store_process_;
  Endpoint store_;
  std::vector<Process> daemons_;
};

}  // namespace cumin::load

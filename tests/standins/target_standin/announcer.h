#pragma once

#include <atomic>
#include <thread>

#include "cumin_core/endpoint.h"
#include "cumin_core/time.h"
#include "standins/target_standin/target_standin.h"

namespace cumin::test {

/** Announces a target to its daemon on every state change and as a periodic
    heartbeat. */
class Announcer {
 public:
  /** Starts the announcing thread.
      @param target   must outlive this object
      @param daemon   address of the daemon on the same VM
      @param service  name of the service
      @param address  the target's listen address
      @param period   interval between heartbeats */
  Announcer(TargetStandin& target, const Endpoint& daemon, std::string service,
            const Endpoint& address, Duration period);

  /** Stops the thread. */
  ~Announcer();

  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /** Sends an announcement immediately. */
  void Announce();

 private:
  void Run();

  TargetStandin& target_;
  Endpoint daemon_;
  std::string service_;
  Endpoint address_;
  Duration period_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cumin::test

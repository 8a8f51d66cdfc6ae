#pragma once

#include <atomic>
#include <thread>

#include "cumin_core/endpoint.h"
#include "cumin_core/time.h"
#include "standins/target_standin/target_standin.h"

namespace cumin::test {

/** Announces a target to its daemon, at each change of its state and as a
    heartbeat. */
class Announcer {
 public:
  /** @param target   outlives this
      @param daemon   the daemon on the same VM
      @param service  the service's name
      @param address  where the target listens
      @param period   between heartbeats */
  Announcer(TargetStandin& target, const Endpoint& daemon, std::string service,
            const Endpoint& address, Duration period);

  /** Ends the thread. */
  ~Announcer();

  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /** Sends one announcement now. */
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

#pragma once

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "standins/target_standin/raw_connection.h"

namespace cumin::test {

/** Accepts connections and serves each in a thread of its own. */
class RawListener {
 public:
  /** Serves the connections. */
  class Handler {
   public:
    virtual ~Handler() = default;

    /** Called in the connection's thread; the connection is closed after. */
    virtual void Serve(RawConnection& connection) = 0;
  };

  /** @param handler  serves the connections; outlives this */
  explicit RawListener(Handler& handler) : handler_(handler) {}
  ~RawListener();

  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  /** @param listen  port 0 picks a free port
      @returns the bound address */
  Result<Endpoint> Start(const Endpoint& listen);

  /** Closes everything and ends the threads. */
  void Stop();

 private:
  void Accept();
  void ServeOne(const std::shared_ptr<RawConnection>& connection);

  Handler& handler_;
  int fd_ = -1;
  std::thread accepting_;
  std::mutex mutex_;
  bool stopping_ = false;
  /** The connections whose threads, which are detached, still run. */
  std::list<std::shared_ptr<RawConnection>> open_;
  std::condition_variable closed_;
};

}  // namespace cumin::test

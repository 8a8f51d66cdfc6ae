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

/** A TCP listener that serves each accepted connection in its own thread. */
class RawListener {
 public:
  /** Handles accepted connections. */
  class Handler {
   public:
    virtual ~Handler() = default;

    /** Called in the connection's thread; the connection is closed when it
        returns. */
    virtual void Serve(RawConnection& connection) = 0;
  };

  /** @param handler  must outlive this object */
  explicit RawListener(Handler& handler) : handler_(handler) {}
  ~RawListener();

  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  /** Starts to listen and to accept connections.
      @param listen  the address; port 0 picks a free port
      @returns the bound address, or kUnavailable */
  Result<Endpoint> Start(const Endpoint& listen);

  /** Closes the listener and all connections and waits for their threads. */
  void Stop();

 private:
  void AcceptConnections();
  void ServeConnection(const std::shared_ptr<RawConnection>& connection);

  Handler& handler_;
  int fd_ = -1;
  std::thread accept_thread_;
  std::mutex mutex_;
  bool stopping_ = false;
  /** Connections whose (detached) threads are still running. */
  std::list<std::shared_ptr<RawConnection>> connections_;
  std::condition_variable connection_closed_;
};

}  // namespace cumin::test

#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** What a RawServer does with a connection after its response. */
enum class AfterAnswer {
  kClose,
  /** Reads a second request and closes without a response to it. */
  kReadAndClose,
  /** Writes the repeated part until the peer closes the connection. */
  kWriteWithoutEnd,
};

/** A TCP server that responds to each connection with fixed bytes, to simulate
    servers that truncate a response or never end it. Serves one connection at a
    time. */
class RawServer {
 public:
  /** @param response        raw bytes sent after the first read of a request;
                             may be empty
      @param after_response  what follows the response
      @param repeated_part   bytes repeated by kWriteWithoutEnd */
  explicit RawServer(std::string response,
                     AfterAnswer after_response = AfterAnswer::kClose,
                     std::string repeated_part = "");
  ~RawServer();

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Endpoint endpoint() const { return endpoint_; }

  /** @returns the number of requests of which some bytes were read */
  int requests() const { return requests_.load(); }

  /** @returns the number of bytes written so far */
  std::size_t written() const { return bytes_written_.load(); }

 private:
  void Run();
  void Serve(int fd);
  bool Write(int fd, const std::string& bytes);

  std::string response_;
  AfterAnswer after_response_;
  std::string repeated_part_;
  int listener_ = -1;
  Endpoint endpoint_;
  std::atomic<int> requests_{0};
  std::atomic<std::size_t> bytes_written_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cumin::test

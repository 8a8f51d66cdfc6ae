#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** What a RawServer does with a connection after its one answer. */
enum class AfterAnswer {
  kClose,
  /** Reads one request more and closes without an answer. */
  kReadAndClose,
  /** Goes on writing the last part until the other end closes. */
  kWriteWithoutEnd,
};

/** A TCP server that answers each connection's bytes with fixed bytes, to play
    servers that break off in the middle. */
class RawServer {
 public:
  /** @param answer  sent after the first bytes of a request; empty for none
      @param after   what follows the answer
      @param part    for kWriteWithoutEnd */
  explicit RawServer(std::string answer,
                     AfterAnswer after = AfterAnswer::kClose,
                     std::string part = "");
  ~RawServer();

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Endpoint endpoint() const { return endpoint_; }

  /** @returns how many times a request's first bytes arrived */
  int requests() const { return requests_.load(); }

  /** @returns bytes written so far */
  std::size_t written() const { return written_.load(); }

 private:
  void Run();
  void Serve(int fd);
  bool Write(int fd, const std::string& bytes);

  std::string answer_;
  AfterAnswer after_;
  std::string part_;
  int listener_ = -1;
  Endpoint endpoint_;
  std::atomic<int> requests_{0};
  std::atomic<std::size_t> written_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cumin::test

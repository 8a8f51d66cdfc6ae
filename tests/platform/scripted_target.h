#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_http/asio.h"

namespace cumin::platform {

/** Bytes that are no complete response. */
struct EndlessShape {
  const char* name;
  std::string begin;
  /** Repeated until the reader closes the connection. */
  std::string repeated;
  /** The part before the repetition is a complete response. */
  bool has_answer = false;
};

/** Fake target whose answer depends on the last part of the request's path:

    - the name of a shape: bytes without end
    - "copy": the answer, and a second copy of it a little later
    - "lost": none; the connection is closed
    - "cut-header", "cut-body", "cut-chunk": closes in the middle of the answer
    - others: a complete response of kAnswerBytes, which begins with the id of
      the attempt
*/
class ScriptedTarget {
 public:
  static constexpr std::size_t kAnswerBytes = std::size_t{512} * 1024;

  /** @param executor  the executor of the event loop */
  explicit ScriptedTarget(const asio::any_io_executor& executor);
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  /** @returns the address; must be called on the event loop's thread */
  Endpoint Start();

  /** @returns the number of requests that were executed */
  int runs() const { return runs_; }

  /** @returns one shape for each part of a response that may lack its end */
  static const std::vector<EndlessShape>& Shapes();

 private:
  Task<void> Accept();
  Task<void> Serve(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> runs_{0};
};

}  // namespace cumin::platform

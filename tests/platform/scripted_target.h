#pragma once

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

/** Fake target that sends without end, for requests whose path ends with the
    name of a shape; other requests get a complete response of kAnswerBytes. */
class EndlessTarget {
 public:
  static constexpr std::size_t kAnswerBytes = std::size_t{512} * 1024;

  /** @param executor  the executor of the event loop */
  explicit EndlessTarget(const asio::any_io_executor& executor);
  EndlessTarget(const EndlessTarget&) = delete;
  EndlessTarget& operator=(const EndlessTarget&) = delete;

  /** @returns the address; must be called on the event loop's thread */
  Endpoint Start();

  /** @returns one shape for each part of a response that may lack its end */
  static const std::vector<EndlessShape>& Shapes();

 private:
  Task<void> Accept();
  static Task<void> Serve(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace cumin::platform

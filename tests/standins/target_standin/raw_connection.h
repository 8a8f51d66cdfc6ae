#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cumin_core/time.h"
#include "cumin_http/http_message.h"

namespace cumin::test {

/** One accepted HTTP/1.1 connection on a plain socket, which can also do what
    the HTTP library cannot: cut an answer short, or never answer. */
class RawConnection {
 public:
  /** @param fd  the accepted socket, which is closed with this */
  explicit RawConnection(int fd) : fd_(fd) {}
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /** Waits for the next request.
      @returns nothing when the other side closed or sent something else */
  std::optional<HttpRequest> Read();

  /** Sends an answer.
      @param response    the answer
      @param missing     how many bytes of the declared body are not sent
      @returns false when the connection is gone */
  bool Write(const HttpResponse& response, std::size_t missing);

  /** Waits.
      @returns false at once when the other side closes meanwhile */
  bool StaysOpenFor(Duration wait);

  /** Reads and drops everything until the other side closes. */
  void Swallow();

  /** Wakes a thread that waits in Read or Swallow. */
  void Interrupt();

 private:
  bool FillUntilBlankLine(std::size_t* end_of_head);
  bool FillTo(std::size_t size);
  bool Fill();

  int fd_;
  std::string buffer_;
};

}  // namespace cumin::test

#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cumin_core/time.h"
#include "cumin_http/http_message.h"

namespace cumin::test {

/** An accepted HTTP/1.1 connection on a plain socket. Unlike the HTTP library,
    it can truncate a response or never respond. */
class RawConnection {
 public:
  /** @param fd  the accepted socket, owned and closed by this object */
  explicit RawConnection(int fd) : fd_(fd) {}
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /** Waits for the next request.
      @returns nullopt when the peer closed the connection or sent a malformed
      request */
  std::optional<HttpRequest> Read();

  /** Sends a response.
      @param response       the response
      @param omitted_bytes  number of bytes at the end of the body that
                            Content-Length includes but that are not sent
      @returns false when the connection is closed */
  bool Write(const HttpResponse& response, std::size_t omitted_bytes);

  /** Waits for the given time or until the peer closes the connection.
      @returns true when the connection stayed open */
  bool WaitWhileOpen(Duration wait);

  /** Reads and discards all input until the peer closes the connection. */
  void DiscardInput();

  /** Shuts the socket down, which wakes a thread blocked in Read or
      DiscardInput. */
  void Interrupt();

 private:
  bool ReceiveHeader(std::size_t* header_bytes);
  bool ReceiveAtLeast(std::size_t size);
  bool Receive();

  int fd_;
  std::string buffer_;
};

}  // namespace cumin::test

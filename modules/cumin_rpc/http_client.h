#pragma once

#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** Whether a connection that was used before may carry a request. */
enum class ConnectionUse {
  /** cxxtools sends a request again, silently, when a reused connection fails
      before the answer; only for requests that may run twice. */
  kMayReuse,
  /** A new connection for this request, which is sent at most once. */
  kFreshOnly,
};

/** One HTTP connection to one server; not for use by two threads at a time. */
class HttpClient {
 public:
  /** @param server  where to connect; nothing is sent yet */
  explicit HttpClient(const Endpoint& server);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends a request and reads the whole answer.

      The connection is closed after any failure, so a late answer cannot be
      taken for that of a later request.

      @param request  the request
      @param timeout  longest silence from the server, at least 1 ms
      @param use      whether to reuse the connection
      @returns the answer; kUnavailable when the request was surely not sent,
               kOutcomeUnknown when it may have been carried out, including an
               answer cut short */
  Result<HttpResponse> Exchange(const HttpRequest& request, Duration timeout,
                                ConnectionUse use);

  /** Closes the connection. */
  void Close();

  const Endpoint& server() const { return server_; }

 private:
  struct Connection;

  Endpoint server_;
  std::unique_ptr<Connection> connection_;
  /** The connection carried an exchange and may still be open. */
  bool was_used_ = false;
};

}  // namespace cumin

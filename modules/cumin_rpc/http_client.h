#pragma once

#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** Whether a request may be sent over an existing keep-alive connection. */
enum class ConnectionUse {
  /** Reuses the open connection, if any. For idempotent requests only: when a
      reused connection fails before the response, cxxtools silently sends the
      request again. */
  kMayReuse,
  /** Opens a new connection; the request is sent at most once. */
  kFreshOnly,
};

/** Blocking HTTP client with one connection to one server. Not thread-safe. */
class HttpClient {
 public:
  /** Sends nothing to the server until the first Exchange. */
  explicit HttpClient(const Endpoint& server);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends a request and reads the complete response.

      The connection is closed after any failure, so that a late response is not
      read as the response to a later request.

      @param timeout  time limit for connecting and for each wait for data, not
                      for the whole exchange; at least 1 ms
      @returns the response; kUnavailable if the request was certainly not sent;
               kOutcomeUnknown if it may have been processed, which includes a
               truncated response */
  Result<HttpResponse> Exchange(const HttpRequest& request, Duration timeout,
                                ConnectionUse use);

  void Close();

  const Endpoint& server() const { return server_; }

 private:
  struct Connection;

  Endpoint server_;
  std::unique_ptr<Connection> connection_;
  /** The last exchange succeeded, so the connection may still be open. */
  bool is_reusable_ = false;
};

}  // namespace cumin

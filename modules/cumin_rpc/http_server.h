#pragma once

#include <cstddef>
#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** Answers requests; called by several worker threads at a time. */
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /** @param request  the whole request
      @returns the whole answer */
  virtual HttpResponse Handle(const HttpRequest& request) = 0;
};

/** Limits of an HttpServer. */
struct HttpServerOptions {
  unsigned min_threads = 4;
  unsigned max_threads = 64;
  /** Longer requests are answered with status 413. */
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

/** An HTTP server with a pool of worker threads and one event loop, which runs
    in a thread of its own. */
class HttpServer {
 public:
  /** @param handler  answers the requests; outlives the server
      @param options  limits */
  HttpServer(HttpHandler& handler, const HttpServerOptions& options);

  /** Stops the server if it still runs. */
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Binds the address and starts to serve.
      @param listen  the address; port 0 picks a free port
      @returns the bound address, or kUnavailable with the reason */
  Result<Endpoint> Start(const Endpoint& listen);

  /** Stops accepting, ends the worker threads and closes the connections. */
  void Stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin

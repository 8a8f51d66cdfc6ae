#pragma once

#include <cstddef>
#include <memory>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** Handles completely received requests; called by several worker threads
    concurrently. */
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  virtual HttpResponse Handle(const HttpRequest& request) = 0;
};

struct HttpServerOptions {
  unsigned min_threads = 4;
  unsigned max_threads = 64;
  /** Larger request bodies are rejected with status 413. */
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

/** HTTP server with a pool of worker threads and an event loop that runs in its
    own thread. */
class HttpServer {
 public:
  /** @param handler  must outlive the server */
  HttpServer(HttpHandler& handler, const HttpServerOptions& options);

  /** Stops the server if it is running. */
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Binds the address and starts serving.
      @param listen  address to bind; port 0 selects a free port
      @returns the bound address, or kUnavailable with the reason */
  Result<Endpoint> Start(const Endpoint& listen);

  /** Stops accepting, stops the worker threads and closes all connections. */
  void Stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin

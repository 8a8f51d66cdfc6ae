#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_http/asio.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** Tells a handler whether the caller of its request still waits. */
class CallerWatch {
 public:
  /** Hears that the caller closed its connection. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnCallerGone() = 0;
  };

  /** @param listener  called at most once, or null for none; must be set back
      to null before it ends */
  void SetListener(Listener* listener) { listener_ = listener; }

  /** @returns true once the caller has closed its connection */
  bool is_gone() const { return is_gone_; }

  /** Records that the caller has gone. */
  void NotifyGone();

 private:
  Listener* listener_ = nullptr;
  bool is_gone_ = false;
};

/** Answers the requests of an HttpListener. */
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;

  /** @param request  the whole request; moved from at will
      @param caller   outlives the returned task and the answer
      @returns the whole answer */
  virtual Task<HttpResponse> Handle(HttpRequest request,
                                    CallerWatch& caller) = 0;
};

/** What a caller may send, and how long it may take. */
struct ListenerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  /** From the first byte of a request to the end of its header. */
  Duration header_timeout = std::chrono::seconds(3);
  /** From the end of the header to the end of the body. */
  Duration body_timeout = std::chrono::seconds(10);
  /** An idle connection is closed after this time. */
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const ListenerLimits& a, const ListenerLimits& b) {
    return a.max_header_bytes == b.max_header_bytes &&
           a.max_body_bytes == b.max_body_bytes &&
           a.header_timeout == b.header_timeout &&
           a.body_timeout == b.body_timeout && a.idle_timeout == b.idle_timeout;
  }
};

/** Why a connection ended without the whole answer to a request. */
enum class CutReason {
  /** The request was read in part only. */
  kIncompleteRequest,
  /** The caller had closed the connection before the request was handled. */
  kCallerGone,
  /** The handler threw; the caller is answered with 500. */
  kHandlerFailed,
  /** The answer was not written to its end. */
  kAnswerNotWritten,
};

/** @returns the reason in lower case, with dashes */
const char* ToString(CutReason reason);

/** A connection that ended without the whole answer to a request. */
struct ConnectionCut {
  CutReason reason = CutReason::kCallerGone;
  /** What the system or the handler said. */
  std::string detail;
  /** The request's path and query, empty before its header was read. */
  std::string path;
  /** Since the first byte of the request was read. */
  Duration after{0};
};

/** Serves HTTP/1.1 on one address.

    One request at a time on a connection. A request that breaks the protocol
    or a limit is answered with 400, 408, 413 or 431, none of which reached the
    handler, and its connection is closed. A request whose caller has closed the
    connection already reaches no handler either; the handler hears when its
    caller closes later. A handler that throws is answered for with 500, which
    leaves open whether the request ran.
*/
class HttpListener {
 public:
  /** Hears of requests that got no whole answer. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnCut(const ConnectionCut& cut) = 0;
  };

  /** @param executor  of the event loop
      @param handler   answers the requests; outlives the loop */
  HttpListener(const asio::any_io_executor& executor,
               HttpRequestHandler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Binds the address and starts to serve.
      @param listen  port 0 picks a free port
      @returns the bound address, or kUnavailable with the reason */
  Result<Endpoint> Start(const Endpoint& listen);

  /** @param listener  told from now on, or null; outlives the loop */
  void SetListener(Listener* listener);

  /** Replaces the limits; they hold from each connection's next request on. */
  void SetLimits(const ListenerLimits& limits);

  /** From now on each answer closes its connection. */
  void CloseAfterResponses();

  /** Stops accepting and closes the idle connections; those with a request
      under way end with its answer. What had arrived by then, on a connection
      or as a new one, is still read and answered. */
  void StopAccepting();

  /** @returns connections with a request that is read or worked on */
  int busy_connections() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace cumin

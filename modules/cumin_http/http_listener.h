#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_http/asio.h"
#include "cumin_http/http_message.h"
#include "cumin_http/request_budget.h"

namespace cumin {

/** Reports to a request handler when the caller disconnects. */
class CallerWatch {
 public:
  /** Receives the disconnect. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnCallerGone() = 0;
  };

  /** @param listener  called at most once, or null for none; must be reset to
      null before it is destroyed */
  void SetListener(Listener* listener) { listener_ = listener; }

  /** @returns true once the caller has closed its connection */
  bool is_gone() const { return is_gone_; }

  /** Marks the caller as disconnected and calls the listener. */
  void NotifyGone();

 private:
  Listener* listener_ = nullptr;
  bool is_gone_ = false;
};

/** Handles the requests of an HttpListener. */
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;

  /** @param request  the complete request; may be moved from
      @param caller   outlives the returned task and the writing of the response
      @returns the complete response */
  virtual Task<HttpResponse> Handle(HttpRequest request,
                                    CallerWatch& caller) = 0;

  /** Called in place of Handle when there is no memory for the request.
      @param head  the request without its body; empty when its header was not
                   read completely
      @returns the response, which may state that the request has not run; a 503
      by default */
  virtual HttpResponse RefuseBody(const HttpRequest& head);
};

/** Size limits and timeouts for incoming requests. */
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

/** Why a request did not get its complete response. */
enum class CutReason {
  /** The connection ended before the complete request was read. */
  kIncompleteRequest,
  /** The caller had closed the connection before the request was handled. */
  kCallerGone,
  /** The handler threw; the response is a 500. */
  kHandlerFailed,
  /** The response could not be written completely. */
  kAnswerNotWritten,
};

/** @returns the name in lower case with dashes, e.g. "caller-gone" */
const char* ToString(CutReason reason);

/** A request that did not get its complete response. */
struct ConnectionCut {
  CutReason reason = CutReason::kCallerGone;
  /** The error message of the system or of the handler's exception. */
  std::string detail;
  /** The request's path and query; empty when its header was not read. */
  std::string path;
  /** Since the first byte of the request was read. */
  Duration after{0};
};

/** Serves HTTP/1.1 on one address.

    Each connection handles one request at a time. A request that violates the
    protocol or a limit gets a 400, 408, 413 or 431 without reaching the
    handler, and its connection is closed. A request whose caller has already
    closed the connection does not reach the handler either; a later close is
    reported through CallerWatch. When a handler throws, the response is a 500,
    which does not tell whether the request was executed. The body of a response
    to HEAD is not sent. A request that exceeds the RequestBudget is
    refused, its body is discarded, and its connection is closed; so is one that
    the budget evicts while it is being read.
*/
class HttpListener {
 public:
  /** Receives requests that did not get their complete response. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnCut(const ConnectionCut& cut) = 0;
  };

  /** @param executor  of the event loop
      @param handler   handles the requests; outlives the loop */
  HttpListener(const asio::any_io_executor& executor,
               HttpRequestHandler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Binds the address and starts to serve.
      @param listen  port 0 picks a free port
      @returns the bound address, or kUnavailable with the reason */
  Result<Endpoint> Start(const Endpoint& listen);

  /** @param listener  or null for none; outlives the loop */
  void SetListener(Listener* listener);

  /** Limits the memory for requests, until they are answered, and the number
      of connections. Must be called before Start.
      @param budget  may be shared with other listeners; null for no limit
      @param origin  of the connections of this listener */
  void SetRequestBudget(
      RefPtr<RequestBudget> budget,
      RequestBudget::Origin origin = RequestBudget::Origin::kCallers);

  /** Replaces the limits; they apply from each connection's next request. */
  void SetLimits(const ListenerLimits& limits);

  /** Closes each connection after its next response. */
  void CloseAfterResponses();

  /** Stops accepting and closes idle connections; the others close after the
      response to their request in progress. Requests and new connections that
      have arrived by then are still served. */
  void StopAccepting();

  /** @returns the number of connections with a request in progress */
  int busy_connections() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace cumin

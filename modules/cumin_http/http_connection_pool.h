#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_http/asio.h"
#include "cumin_http/http_message.h"

namespace cumin {

/** How an exchange ended. */
enum class ExchangeEnd {
  /** A complete response was received. */
  kAnswered,
  /** No byte of the request was sent. */
  kNotSent,
  /** The request may have arrived; the connection was lost before the complete
      response. */
  kBroken,
  /** The request may have arrived; the response timed out. */
  kTimedOut,
  /** The request may have arrived; the response is malformed, exceeds a limit,
      or belongs to another request. */
  kGarbled,
  /** Aborted by this side. */
  kAborted,
};

/** @returns the name in lower case with dashes, e.g. "timed-out" */
const char* ToString(ExchangeEnd end);

/** The outcome of an exchange. */
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNotSent;
  /** Set when the end is kAnswered. */
  HttpResponse response;
  /** The failure as reported by the system or the HTTP library. */
  std::string reason;
  /** Whether the exchange used a pooled connection. */
  bool was_reused = false;
};

/** Limits and response matching of one exchange. */
struct ExchangeOptions {
  Duration connect_timeout = std::chrono::milliseconds(400);
  /** For the whole exchange, including the connect. */
  Duration timeout = std::chrono::seconds(1);
  /** A pooled connection is used only when it was idle for less than this; zero
      always opens a new connection. Connections that were idle for longer stay
      in the pool for other exchanges. */
  Duration max_idle = std::chrono::seconds(4);
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  /** Unless empty: the response header that must equal correlation_value; other
      responses belong to earlier requests and are skipped. */
  std::string correlation_field;
  std::string correlation_value;
  /** Sent in place of the request's body, without a copy; outlives the
      exchange. */
  const std::string* body = nullptr;
};

/** Cancellation handle of an exchange. */
class ExchangeAbort {
 public:
  /** Closes the connection of the exchange in progress, if any; later exchanges
      with this handle end without sending anything. */
  void Abort();

  bool is_aborted() const { return is_aborted_; }

 private:
  friend class HttpConnectionPool;
  std::weak_ptr<void> stream_;
  void (*close_)(void* stream) = nullptr;
  bool is_aborted_ = false;
};

/** HTTP client with a pool of keep-alive connections.

    A request is sent at most once; it is never retried on another connection.
    A connection returns to the pool only after a complete response with no
    bytes after it, and is reused only while no unexpected input has arrived on
    it.

    Bodies are buffered in memory, within a BodyBudget; an exchange whose body
    is aborted, or whose header, chunk extension or trailer exceeds 64 KiB, ends
    with kGarbled.
*/
class HttpConnectionPool {
 public:
  static constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{32} << 20U;

  /** @param executor        of the event loop
      @param max_body_bytes  memory for the bodies of all responses, until they
                             have been passed on */
  explicit HttpConnectionPool(
      const asio::any_io_executor& executor,
      std::size_t max_body_bytes = kDefaultMaxBodyBytes);
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  /** Sends a request and waits for its response.
      @param to       the server
      @param request  outlives the task
      @param options  limits; outlives the task
      @param abort    may be null; outlives the task */
  Task<ExchangeResult> Exchange(const Endpoint& to, const HttpRequest& request,
                                const ExchangeOptions& options,
                                ExchangeAbort* abort = nullptr);

  /** Closes pooled connections that exceeded their idle timeout. */
  void CloseExpired();

  /** @returns the number of connection attempts so far */
  std::uint64_t opened() const;

  /** @returns the number of connection attempts that failed or timed out */
  std::uint64_t failed() const;

  /** @returns the memory of all response bodies that are still held */
  std::size_t body_bytes() const;

  /** @returns the number of responses that were aborted because of their size
   */
  std::uint64_t oversized() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin

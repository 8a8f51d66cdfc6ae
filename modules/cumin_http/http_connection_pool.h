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
  /** A whole answer is here. */
  kAnswered,
  /** No byte of the request was sent. */
  kNotSent,
  /** The request may have arrived; the connection broke before the answer. */
  kBroken,
  /** The request may have arrived; no answer in time. */
  kTimedOut,
  /** The request may have arrived; what came back is no whole answer. */
  kGarbled,
  /** Aborted by this side. */
  kAborted,
};

/** @returns the end's name in lower case with dashes */
const char* ToString(ExchangeEnd end);

/** What came of an exchange. */
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNotSent;
  /** Set when the end is kAnswered. */
  HttpResponse response;
  /** The system's or the library's word for the failure. */
  std::string reason;
  /** Whether the exchange went over a kept connection. */
  bool was_reused = false;
};

/** How an exchange is to be carried out. */
struct ExchangeOptions {
  Duration connect_timeout = std::chrono::milliseconds(400);
  /** For the whole exchange, connecting included. */
  Duration timeout = std::chrono::seconds(1);
  /** A kept connection is used only when it was idle for less than this; zero
      for a new connection. */
  Duration max_idle = std::chrono::seconds(4);
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  /** Unless empty: the response field that must have correlation_value; other
      responses belong to earlier requests and are passed over. */
  std::string correlation_field;
  std::string correlation_value;
};

/** Ends an exchange from outside. */
class ExchangeAbort {
 public:
  /** Closes the connection of the exchange under way, if any; later exchanges
      with this handle end at once. */
  void Abort();

  bool is_aborted() const { return is_aborted_; }

 private:
  friend class HttpConnectionPool;
  std::weak_ptr<void> stream_;
  void (*close_)(void* stream) = nullptr;
  bool is_aborted_ = false;
};

/** Exchanges requests for answers over kept connections.

    A request is sent once: nothing is ever sent again on another connection. A
    connection is kept only after a whole answer with no byte behind it, and
    used again only while nothing has arrived on it. Bodies are held as a whole;
    while all of them together are too large, the longer ones are given up as
    garbled.
*/
class HttpConnectionPool {
 public:
  /** Bodies under way hold this much together before long ones are given up. */
  static constexpr std::size_t kMaxTotalBodyBytes = std::size_t{32} << 20U;

  /** @param executor  of the event loop */
  explicit HttpConnectionPool(const asio::any_io_executor& executor);
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  /** Sends a request and waits for its answer.
      @param to       the other end
      @param request  outlives the task
      @param options  limits; outlives the task
      @param abort    may be null; outlives the task */
  Task<ExchangeResult> Exchange(const Endpoint& to, const HttpRequest& request,
                                const ExchangeOptions& options,
                                ExchangeAbort* abort = nullptr);

  /** Closes the connections that are idle for longer than they may be kept. */
  void CloseExpired();

  /** @returns connections opened so far */
  std::uint64_t opened() const;

  /** @returns connections that could not be opened, or not in time */
  std::uint64_t failed() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace cumin

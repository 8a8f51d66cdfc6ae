#include "cumin_http/http_listener.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/intrusive/list.hpp>
#include <chrono>
#include <exception>

#include "cumin_http/response_pacer.h"
#include "cumin_http/socket_options.h"

namespace cumin {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;
using SteadyTime = std::chrono::steady_clock::time_point;

/** Buffer size of the first read of a request; most requests fit. */
constexpr std::size_t kInitialReadBytes = 1024;
/** Bytes of a request that are read ahead of the parser at most, unless its
    header may be larger. */
constexpr std::size_t kMinBufferBytes = std::size_t{16} * 1024;
/** Bytes read at a time of a body that is discarded. */
constexpr std::size_t kDiscardBytes = 4096;
/** A caller that does not read its response for this long is disconnected. */
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
/** Interval between checks for expired idle connections. */
constexpr Duration kIdleSweepPeriod = std::chrono::milliseconds(500);
/** Delay after a failed accept, for instance when out of file descriptors. */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

MonoTime ToMonoTime(SteadyTime time) {
  return MonoTime(
      std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

MonoTime SteadyNow() { return ToMonoTime(std::chrono::steady_clock::now()); }

/** @returns whether the bytes hold a complete header */
bool HasCompleteHeader(const beast::flat_buffer& buffer) {
  static constexpr char kEnd[] = "\r\n\r\n";
  const auto* const begin = static_cast<const char*>(buffer.data().data());
  const char* const end = begin + buffer.size();
  return std::search(begin, end, kEnd, kEnd + sizeof(kEnd) - 1) != end;
}

HttpResponse EmptyResponse(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

/** @returns the status for a request that could not be read, or 0 when the
    connection is lost and no response can be sent */
int StatusForError(const error_code& ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return 431;
  }
  if (ec == http::error::body_limit) {
    return 413;
  }
  if (ec == beast::error::timeout) {
    return 408;
  }
  const bool is_cut =
      ec == http::error::end_of_stream || ec == http::error::partial_message ||
      ec.category() !=
          http::make_error_code(http::error::end_of_stream).category();
  return is_cut ? 0 : 400;
}

HttpRequest ReleaseRequest(Parser& parser) {
  auto message = parser.release();
  HttpRequest request;
  request.method = message.method_string().to_string();
  const std::string target(message.target());
  const std::size_t mark = target.find('?');
  // A '?' without a query stays part of the path, so that the target is
  // forwarded unchanged.
  if (mark == std::string::npos || mark + 1 == target.size()) {
    request.path = target;
  } else {
    request.path = target.substr(0, mark);
    request.query = target.substr(mark + 1);
  }
  for (const auto& it : message) {
    request.headers.Add(it.name_string().to_string(), it.value().to_string());
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

const char* ToString(CutReason reason) {
  switch (reason) {
    case CutReason::kIncompleteRequest:
      return "incomplete-request";
    case CutReason::kCallerGone:
      return "caller-gone";
    case CutReason::kHandlerFailed:
      return "handler-failed";
    case CutReason::kAnswerNotWritten:
      return "answer-not-written";
  }
  return "unknown";
}

HttpResponse HttpRequestHandler::RefuseBody(const HttpRequest& /*head*/) {
  return EmptyResponse(kUnavailable);
}

void CallerWatch::NotifyGone() {
  if (is_gone_) {
    return;
  }
  is_gone_ = true;
  if (Listener* const listener = std::exchange(listener_, nullptr)) {
    listener->OnCallerGone();
  }
}

class HttpListener::Implementation
    : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(const asio::any_io_executor& executor,
                 HttpRequestHandler& handler)
      : executor_(executor), acceptor_(executor), handler_(handler) {}

  Result<Endpoint> Start(const Endpoint& listen) {
    error_code ec;
    const auto address = ToTcp(listen);
    acceptor_.open(address.protocol(), ec);
    if (!ec) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
      acceptor_.bind(address, ec);
    }
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return Error{ErrorCode::kUnavailable, ToString(listen), 0, "",
                   "cannot listen: " + ec.message()};
    }
    asio::co_spawn(executor_, Accept(shared_from_this()), asio::detached);
    asio::co_spawn(executor_, SweepIdle(shared_from_this()), asio::detached);
    return Endpoint{listen.address, acceptor_.local_endpoint().port()};
  }

  void StopAccepting() {
    closes_after_responses_ = true;
    AcceptPending();
    error_code ignored;
    acceptor_.close(ignored);
    for (Connection& it : connections_) {
      CloseIfIdle(it);
    }
  }

  ListenerLimits limits_;
  HttpListener::Listener* listener_ = nullptr;
  RefPtr<RequestBudget> request_budget_;
  RequestBudget::Origin origin_ = RequestBudget::Origin::kCallers;
  bool closes_after_responses_ = false;
  int busy_ = 0;

 private:
  struct Connection
      : boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
        RequestBudget::Owner {
    Connection(asio::ip::tcp::socket socket, RefPtr<RequestBudget> budget,
               RequestBudget::Origin origin)
        : stream(std::move(socket)), memory(std::move(budget), this, origin) {}

    void OnEvicted() override {
      is_evicted = true;
      if (has_header) {
        stream.cancel();
      } else {
        // A cancelled read of a header goes on with the bytes that it has.
        stream.close();
      }
    }

    beast::tcp_stream stream;
    RequestBudget::Reservation memory;
    /** The header of the request in progress was read, so that it can be
        refused. */
    bool has_header = false;
    bool is_evicted = false;
    beast::flat_buffer buffer;
    SteadyTime idle_since = std::chrono::steady_clock::now();
    /** The caller of the request in progress. */
    CallerWatch* caller = nullptr;
    bool is_busy = false;
    /** An asynchronous wait for the caller's disconnect is pending. */
    bool is_watched = false;
  };
  /** Whether the body of a response is sent; the response to HEAD ends with
      its header. */
  enum class BodyMode { kSent, kOmitted };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Self = std::shared_ptr<Implementation>;

  /** Scope guard that counts a connection as busy. */
  class BusyGuard {
   public:
    BusyGuard(Implementation& owner, Connection& connection)
        : owner_(owner), connection_(connection) {
      connection_.is_busy = true;
      ++owner_.busy_;
    }
    ~BusyGuard() {
      connection_.is_busy = false;
      --owner_.busy_;
    }
    BusyGuard(const BusyGuard&) = delete;
    BusyGuard& operator=(const BusyGuard&) = delete;

   private:
    Implementation& owner_;
    Connection& connection_;
  };

  Task<void> Accept([[maybe_unused]] Self self) {
    while (acceptor_.is_open()) {
      error_code ec;
      asio::ip::tcp::socket socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (ec) {
        co_await SleepFor(kAcceptRetryDelay);
        continue;
      }
      Open(std::move(socket));
    }
  }

  /** Closes a connection without a request in progress, unless input has
      arrived on it; that request is still served. */
  static void CloseIfIdle(Connection& connection) {
    if (!connection.is_busy &&
        !HasUnexpectedInput(connection.stream.socket())) {
      connection.stream.cancel();
    }
  }

  /** Closes connections that exceeded the idle timeout. A timeout on each
      read would also drop a request that arrived while the event loop was
      delayed. */
  Task<void> SweepIdle([[maybe_unused]] Self self) {
    while (acceptor_.is_open()) {
      co_await SleepFor(kIdleSweepPeriod);
      const SteadyTime now = std::chrono::steady_clock::now();
      for (Connection& it : connections_) {
        if (now - it.idle_since >= limits_.idle_timeout) {
          CloseIfIdle(it);
        }
      }
    }
  }

  /** Accepts all connections in the listen backlog. */
  void AcceptPending() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
      asio::ip::tcp::socket socket(executor_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        Open(std::move(socket));
      }
    }
  }

  void Open(asio::ip::tcp::socket socket) {
    SetTcpOptions(socket, TcpLivenessOptions{});
    auto connection = std::make_shared<Connection>(std::move(socket),
                                                   request_budget_, origin_);
    if (!connection->memory.Admit(SteadyNow())) {
      return;
    }
    connections_.push_back(*connection);
    asio::co_spawn(executor_, Serve(shared_from_this(), connection),
                   asio::detached);
  }

  Task<void> Serve([[maybe_unused]] Self self, ConnectionPtr connection) {
    bool stays_open = true;
    while (stays_open) {
      stays_open = co_await ServeOne(connection);
    }
    error_code ignored;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                         ignored);
    connection->stream.close();
  }

  /** Serves one request.
      @returns whether the connection stays open */
  Task<bool> ServeOne(ConnectionPtr connection) {
    const bool has_request = co_await WaitForRequest(*connection);
    if (!has_request) {
      co_return false;
    }
    const BusyGuard busy(*this, *connection);
    const SteadyTime began = std::chrono::steady_clock::now();
    Parser parser;
    const error_code ec = co_await Read(*connection, parser);
    connection->memory.Hold();
    const std::string path(parser.get().target());
    if (connection->is_evicted && !connection->has_header) {
      co_return false;
    }
    if (ec == asio::error::no_memory) {
      const HttpRequest head = ReleaseRequest(parser).WithoutBody();
      co_await RefuseBody(*connection, head);
      co_return false;
    }
    if (ec) {
      const int status = StatusForError(ec);
      if (status != 0) {
        co_await Write(*connection, EmptyResponse(status), BodyMode::kSent,
                       false);
      } else {
        NotifyCut(CutReason::kIncompleteRequest, ec.message(), path, began);
      }
      co_return false;
    }
    if (IsClosedByPeer(connection->stream.socket())) {
      NotifyCut(CutReason::kCallerGone, "", path, began);
      co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    const BodyMode body = parser.get().method() == http::verb::head
                              ? BodyMode::kOmitted
                              : BodyMode::kSent;
    CallerWatch caller;
    connection->caller = &caller;
    WatchForDisconnect(connection);
    HttpResponse response;
    try {
      response = co_await handler_.Handle(ReleaseRequest(parser), caller);
    } catch (const std::exception& error) {
      NotifyCut(CutReason::kHandlerFailed, error.what(), path, began);
      response = EmptyResponse(kInternalError);
    }
    const bool stays_open = keep_alive && !closes_after_responses_;
    const error_code write_ec =
        co_await Write(*connection, std::move(response), body, stays_open);
    connection->caller = nullptr;
    if (write_ec) {
      NotifyCut(CutReason::kAnswerNotWritten, write_ec.message(), path, began);
    }
    co_return !write_ec && stays_open;
  }

  void NotifyCut(CutReason reason, const std::string& detail,
                 const std::string& path, SteadyTime began) {
    if (listener_ == nullptr) {
      return;
    }
    const auto after = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - began);
    listener_->OnCut(ConnectionCut{reason, detail, path, after});
  }

  Task<bool> WaitForRequest(Connection& connection) {
    if (connection.buffer.size() > 0) {
      co_return true;
    }
    const bool is_stopped = closes_after_responses_ && !acceptor_.is_open();
    if (is_stopped && !HasUnexpectedInput(connection.stream.socket())) {
      co_return false;
    }
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    connection.idle_since = std::chrono::steady_clock::now();
    connection.has_header = false;
    connection.stream.expires_never();
    (void)connection.memory.Resize(0);
    connection.memory.Await(ToMonoTime(connection.idle_since));
    error_code ec;
    const std::size_t n = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kInitialReadBytes),
        asio::redirect_error(asio::use_awaitable, ec));
    connection.buffer.commit(n);
    co_return !ec && !connection.is_evicted;
  }

  /** @returns the error of the read; asio::error::no_memory when the request
      does not fit in the request budget */
  Task<error_code> Read(Connection& connection, Parser& parser) {
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    // Bounds what the header limit does not: chunk extensions and trailers.
    connection.buffer.max_size(
        std::max(limits_.max_header_bytes, kMinBufferBytes));
    parser.body_limit(limits_.max_body_bytes);
    error_code ec;
    connection.has_header = false;
    connection.memory.Await(SteadyNow());
    // Reading the rest of a header may fill the whole buffer.
    const std::size_t header_bytes = HasCompleteHeader(connection.buffer)
                                         ? connection.buffer.capacity()
                                         : connection.buffer.max_size();
    if (!connection.memory.Resize(header_bytes, SteadyNow())) {
      co_return asio::error::no_memory;
    }
    connection.stream.expires_after(limits_.header_timeout);
    co_await http::async_read_header(
        connection.stream, connection.buffer, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    connection.has_header = !ec && !connection.is_evicted;
    if (connection.is_evicted) {
      ec = asio::error::no_memory;
    }
    if (!ec && !parser.is_done()) {
      connection.stream.expires_after(limits_.body_timeout);
      const std::size_t length = parser.content_length().value_or(0);
      if (!connection.memory.Resize(length + connection.buffer.capacity(),
                                    SteadyNow())) {
        ec = asio::error::no_memory;
      }
    }
    while (!ec && !parser.is_done()) {
      co_await http::async_read_some(
          connection.stream, connection.buffer, parser,
          asio::redirect_error(asio::use_awaitable, ec));
      connection.memory.Await(SteadyNow());
      const std::size_t held =
          parser.get().body().capacity() + connection.buffer.capacity();
      const bool fits =
          !parser.chunked() || connection.memory.Resize(held, SteadyNow());
      // A read that had ended when it was cancelled reports no error.
      if (connection.is_evicted || (!ec && !fits)) {
        ec = asio::error::no_memory;
      }
    }
    connection.stream.expires_never();
    const std::string& body = parser.get().body();
    (void)connection.memory.Resize(ec || body.empty() ? 0 : body.capacity());
    co_return ec;
  }

  /** Refuses a request whose body was not read, then discards the body: a
      connection that is closed with unread input is reset, and the caller may
      lose the response. */
  Task<void> RefuseBody(Connection& connection, const HttpRequest& head) {
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    (void)connection.memory.Resize(0);
    error_code ec = co_await Write(connection, handler_.RefuseBody(head),
                                   BodyMode::kSent, false);
    connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                        ec);
    connection.stream.expires_after(limits_.body_timeout);
    connection.memory.Await(SteadyNow());
    while (!ec && !connection.is_evicted) {
      connection.buffer.clear();
      co_await connection.stream.async_read_some(
          connection.buffer.prepare(kDiscardBytes),
          asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  Task<error_code> Write(Connection& connection, HttpResponse response,
                         BodyMode body, bool keep_alive) {
    http::response<http::span_body<const char>> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const HttpHeader& it : response.headers.all()) {
      message.insert(it.name, it.value);
    }
    message.body() =
        beast::span<const char>(response.body.data(), response.body.size());
    message.content_length(response.body.size());
    message.keep_alive(keep_alive);
    error_code ec;
    connection.stream.expires_after(kWriteTimeout);
    if (response.pacing == nullptr && body == BodyMode::kSent) {
      co_await http::async_write(connection.stream, message,
                                 asio::redirect_error(asio::use_awaitable, ec));
    } else {
      http::response_serializer<http::span_body<const char>> serializer(
          message);
      co_await http::async_write_header(
          connection.stream, serializer,
          asio::redirect_error(asio::use_awaitable, ec));
      if (!ec && body == BodyMode::kSent) {
        ec = co_await WritePaced(connection, response);
      }
    }
    connection.stream.expires_never();
    co_return ec;
  }

  /** Writes the body in the portions that its pacer allows. */
  static Task<error_code> WritePaced(Connection& connection,
                                     const HttpResponse& response) {
    std::size_t written = 0;
    while (written < response.body.size()) {
      const std::size_t remaining = response.body.size() - written;
      const std::size_t n = co_await response.pacing->NextBytes(remaining);
      if (n == 0) {
        co_return asio::error::operation_aborted;
      }
      error_code ec;
      connection.stream.expires_after(kWriteTimeout);
      co_await asio::async_write(
          connection.stream, asio::buffer(response.body.data() + written, n),
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return ec;
      }
      written += n;
    }
    co_return error_code();
  }

  /** Notifies the request's handler when the caller disconnects. A pipelined
      request hides a later disconnect until it is read. */
  void WatchForDisconnect(const ConnectionPtr& connection) {
    if (connection->is_watched) {
      return;
    }
    connection->is_watched = true;
    connection->stream.socket().async_wait(
        asio::socket_base::wait_read, [connection](const error_code& ec) {
          connection->is_watched = false;
          if (connection->caller != nullptr &&
              (ec || IsClosedByPeer(connection->stream.socket()))) {
            connection->caller->NotifyGone();
          }
        });
  }

  asio::any_io_executor executor_;
  asio::ip::tcp::acceptor acceptor_;
  HttpRequestHandler& handler_;
  boost::intrusive::list<Connection,
                         boost::intrusive::constant_time_size<false>>
      connections_;
};

HttpListener::HttpListener(const asio::any_io_executor& executor,
                           HttpRequestHandler& handler)
    : implementation_(std::make_shared<Implementation>(executor, handler)) {}

HttpListener::~HttpListener() { implementation_->StopAccepting(); }

Result<Endpoint> HttpListener::Start(const Endpoint& listen) {
  return implementation_->Start(listen);
}

void HttpListener::SetListener(Listener* listener) {
  implementation_->listener_ = listener;
}

void HttpListener::SetRequestBudget(RefPtr<RequestBudget> budget,
                                    RequestBudget::Origin origin) {
  implementation_->request_budget_ = std::move(budget);
  implementation_->origin_ = origin;
}

void HttpListener::SetLimits(const ListenerLimits& limits) {
  implementation_->limits_ = limits;
}

void HttpListener::CloseAfterResponses() {
  implementation_->closes_after_responses_ = true;
}

void HttpListener::StopAccepting() { implementation_->StopAccepting(); }

int HttpListener::busy_connections() const { return implementation_->busy_; }

}  // namespace cumin

#include "cumin_http/http_connection_pool.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <map>
#include <vector>

#include "cumin_http/body_budget.h"
#include "cumin_http/socket_options.h"

namespace cumin {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = http::response_parser<http::string_body>;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
/** Maximum number of responses to earlier requests that an exchange skips. */
constexpr int kMaxSkippedResponses = 2;
/** Statuses of HTTP; those below kMinFinalStatus are interim. */
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;
/** Ends HTTP on the connection; no request asks for it. */
constexpr unsigned kSwitchingProtocols = 101;
/** A pooled connection expires this long before the server would close it. */
constexpr Duration kIdleMargin = std::chrono::seconds(1);
/** Idle connections per endpoint. */
constexpr std::size_t kMaxIdle = 16;

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {
    // The parser asks for more input until a line is complete.
    buffer.max_size(kMaxHeaderBytes);
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  SteadyTime idle_since;
  /** Idle time after which the server closes it, from Keep-Alive, less
      kIdleMargin. */
  Duration idle_timeout = std::chrono::hours(1);
};
using ConnectionPtr = std::shared_ptr<Connection>;

/** @returns the timeout in a Keep-Alive header less kIdleMargin, or one
    hour without one */
Duration KeepAliveTime(const std::string& field) {
  static constexpr char kName[] = "timeout=";
  const std::size_t at = field.find(kName);
  if (at == std::string::npos) {
    return std::chrono::hours(1);
  }
  const std::int64_t seconds =
      std::strtoll(field.c_str() + at + sizeof(kName) - 1, nullptr, 10);
  const Duration length = std::chrono::seconds(seconds);
  return std::max<Duration>(Duration::zero(), length - kIdleMargin);
}

bool IsTimeout(const error_code& ec) { return ec == beast::error::timeout; }

/** @returns whether a limit on the size of the response was exceeded */
bool IsOversized(const error_code& ec) {
  return ec == http::error::header_limit || ec == http::error::body_limit ||
         ec == http::error::buffer_overflow;
}

bool IsGarbled(const error_code& ec) {
  return ec.category() ==
             http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

ExchangeResult Failed(ExchangeEnd end, const std::string& reason) {
  ExchangeResult result;
  result.end = end;
  result.reason = reason;
  return result;
}

HttpResponse ReleaseResponse(Parser& parser) {
  auto message = parser.release();
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& it : message) {
    response.headers.Add(it.name_string().to_string(), it.value().to_string());
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

const char* ToString(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kAnswered:
      return "answered";
    case ExchangeEnd::kNotSent:
      return "not-sent";
    case ExchangeEnd::kBroken:
      return "broken";
    case ExchangeEnd::kTimedOut:
      return "timed-out";
    case ExchangeEnd::kGarbled:
      return "garbled";
    case ExchangeEnd::kAborted:
      return "aborted";
  }
  return "unknown";
}

void ExchangeAbort::Abort() {
  is_aborted_ = true;
  if (const auto stream = stream_.lock()) {
    close_(stream.get());
  }
}

class HttpConnectionPool::Implementation {
 public:
  Implementation(const asio::any_io_executor& executor,
                 std::size_t max_body_bytes)
      : executor_(executor), body_budget_(new BodyBudget(max_body_bytes)) {}

  /** @returns the connection that was idle for the shortest time, if that is
      less than max_idle, or null */
  ConnectionPtr TakeIdle(const Endpoint& to, Duration max_idle) {
    const auto found = idle_.find(to);
    if (found == idle_.end()) {
      return nullptr;
    }
    std::vector<ConnectionPtr>& list = found->second;
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!list.empty() && now - list.back()->idle_since < max_idle) {
      ConnectionPtr connection = std::move(list.back());
      list.pop_back();
      if (!IsExpired(*connection, now)) {
        return connection;
      }
    }
    return nullptr;
  }

  void PutIdle(const Endpoint& to, ConnectionPtr connection) {
    std::vector<ConnectionPtr>& list = idle_[to];
    if (list.size() >= kMaxIdle) {
      list.erase(list.begin());
    }
    connection->buffer.clear();
    connection->buffer.shrink_to_fit();
    connection->idle_since = std::chrono::steady_clock::now();
    list.push_back(std::move(connection));
  }

  void CloseExpired() {
    const SteadyTime now = std::chrono::steady_clock::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      auto& list = it->second;
      list.erase(std::remove_if(list.begin(), list.end(),
                                [&](const ConnectionPtr& connection) {
                                  return IsExpired(*connection, now);
                                }),
                 list.end());
      it = list.empty() ? idle_.erase(it) : std::next(it);
    }
  }

  asio::any_io_executor executor_;
  const RefPtr<BodyBudget> body_budget_;
  std::uint64_t opened_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t oversized_ = 0;

 private:
  static bool IsExpired(Connection& connection, SteadyTime now) {
    constexpr Duration kLongestIdle = std::chrono::seconds(30);
    return now - connection.idle_since >=
               std::min(kLongestIdle, connection.idle_timeout) ||
           HasUnexpectedInput(connection.stream.socket());
  }

  std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

namespace {

/** @returns the error of the write, if any */
Task<error_code> WriteRequest(Connection& connection, const Endpoint& to,
                              const HttpRequest& request,
                              const std::string& body) {
  http::request<http::span_body<const char>> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.query.empty() ? request.path
                                       : request.path + "?" + request.query);
  for (const HttpHeader& it : request.headers.all()) {
    message.insert(it.name, it.value);
  }
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, ToString(to));
  }
  const bool has_body =
      !body.empty() || request.method == "POST" || request.method == "PUT";
  if (has_body) {
    message.body() = beast::span<const char>(body.data(), body.size());
    message.content_length(body.size());
  }
  error_code ec;
  co_await http::async_write(connection.stream, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return ec;
}

ExchangeResult FailedAfterSend(const error_code& ec) {
  if (IsTimeout(ec)) {
    return Failed(ExchangeEnd::kTimedOut, "no response before the timeout");
  }
  return Failed(IsGarbled(ec) ? ExchangeEnd::kGarbled : ExchangeEnd::kBroken,
                ec.message());
}

bool BelongsToRequest(const Parser& parser, const ExchangeOptions& options) {
  return options.correlation_field.empty() ||
         parser.get()[options.correlation_field] == options.correlation_value;
}

/** Reads one response, within the memory for bodies. */
class ResponseReader final : public BodyBudget::Reader {
 public:
  ResponseReader(Connection& connection, RefPtr<BodyBudget> budget,
                 const Endpoint& server)
      : connection_(connection),
        memory_(std::make_shared<BodyBudget::Reservation>(std::move(budget),
                                                          server, *this)) {}

  /** @returns the error of the read, if any */
  Task<error_code> Read(Parser& parser) {
    error_code ec;
    while (!ec && !parser.is_done()) {
      co_await http::async_read_some(
          connection_.stream, connection_.buffer, parser,
          asio::redirect_error(asio::use_awaitable, ec));
      // The capacity is what the body takes of the process's memory.
      if (!ec && !memory_->Resize(parser.get().body().capacity())) {
        is_aborted_ = true;
      }
      if (is_aborted_) {
        ec = http::error::body_limit;
      }
    }
    memory_->Complete();
    co_return ec;
  }

  /** @returns the memory of the body, which counts until this is released */
  std::shared_ptr<void> memory() const { return memory_; }

 private:
  void OnBodyAborted() override {
    is_aborted_ = true;
    connection_.stream.close();
  }

  Connection& connection_;
  const std::shared_ptr<BodyBudget::Reservation> memory_;
  bool is_aborted_ = false;
};

/** Reads responses until the one that belongs to the request.
    @param[out] may_keep   whether the connection may be reused: it carried no
                           other response and no further bytes
    @param[out] oversized  incremented when a response exceeds a limit */
Task<ExchangeResult> ReadOwnResponse(Connection& connection,
                                     const Endpoint& server,
                                     const HttpRequest& request,
                                     const ExchangeOptions& options,
                                     const RefPtr<BodyBudget>& budget,
                                     bool* may_keep, std::uint64_t* oversized) {
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    Parser parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options.max_body_bytes);
    parser.skip(request.method == "HEAD");
    ResponseReader reader(connection, budget, server);
    const error_code ec = co_await reader.Read(parser);
    if (ec) {
      *oversized += IsOversized(ec) ? 1 : 0;
      co_return FailedAfterSend(ec);
    }
    const unsigned status = parser.get().result_int();
    if (status < kMinStatus || status > kMaxStatus ||
        status == kSwitchingProtocols) {
      co_return Failed(ExchangeEnd::kGarbled,
                       "status " + std::to_string(status) + " is no answer");
    }
    const bool is_interim = status < kMinFinalStatus;
    if (!is_interim && BelongsToRequest(parser, options)) {
      *may_keep = skipped == 0 && parser.keep_alive() &&
                  !parser.get().need_eof() && connection.buffer.size() == 0;
      ExchangeResult result;
      result.end = ExchangeEnd::kAnswered;
      result.response = ReleaseResponse(parser);
      result.response.memory = reader.memory();
      co_return result;
    }
    if (!parser.keep_alive()) {
      break;
    }
  }
  co_return Failed(ExchangeEnd::kGarbled,
                   "response belongs to another request");
}

}  // namespace

HttpConnectionPool::HttpConnectionPool(const asio::any_io_executor& executor,
                                       std::size_t max_body_bytes)
    : implementation_(
          std::make_unique<Implementation>(executor, max_body_bytes)) {}

HttpConnectionPool::~HttpConnectionPool() = default;

Task<ExchangeResult> HttpConnectionPool::Exchange(
    const Endpoint& to, const HttpRequest& request,
    const ExchangeOptions& options, ExchangeAbort* abort) {
  const SteadyTime end = std::chrono::steady_clock::now() + options.timeout;
  ConnectionPtr connection = implementation_->TakeIdle(to, options.max_idle);
  const bool was_reused = connection != nullptr;
  if (!was_reused) {
    connection = std::make_shared<Connection>(implementation_->executor_);
    implementation_->opened_ += 1;
  }
  beast::tcp_stream& stream = connection->stream;
  if (abort != nullptr) {
    if (abort->is_aborted_) {
      co_return Failed(ExchangeEnd::kNotSent, "aborted");
    }
    abort->stream_ = connection;
    abort->close_ = [](void* it) {
      static_cast<Connection*>(it)->stream.close();
    };
  }
  if (!was_reused) {
    error_code ec;
    stream.expires_after(std::min(options.connect_timeout, options.timeout));
    co_await stream.async_connect(
        ToTcp(to), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      implementation_->failed_ += 1;
      co_return Failed(ExchangeEnd::kNotSent,
                       "cannot connect: " + ec.message());
    }
    SetTcpOptions(stream.socket(), TcpLivenessOptions{});
  }
  stream.expires_at(end);
  const std::string& body =
      options.body != nullptr ? *options.body : request.body;
  const error_code ec = co_await WriteRequest(*connection, to, request, body);
  bool may_keep = false;
  ExchangeResult result;
  if (ec) {
    result = FailedAfterSend(ec);
  } else {
    result = co_await ReadOwnResponse(*connection, to, request, options,
                                      implementation_->body_budget_, &may_keep,
                                      &implementation_->oversized_);
  }
  result.was_reused = was_reused;
  if (abort != nullptr) {
    abort->stream_.reset();
    if (abort->is_aborted_ && result.end != ExchangeEnd::kAnswered) {
      result.end = ExchangeEnd::kAborted;
    }
  }
  if (may_keep && result.end == ExchangeEnd::kAnswered) {
    stream.expires_never();
    connection->idle_timeout =
        KeepAliveTime(result.response.headers.Get("Keep-Alive"));
    implementation_->PutIdle(to, std::move(connection));
  }
  co_return result;
}

void HttpConnectionPool::CloseExpired() { implementation_->CloseExpired(); }

std::uint64_t HttpConnectionPool::opened() const {
  return implementation_->opened_;
}

std::uint64_t HttpConnectionPool::failed() const {
  return implementation_->failed_;
}

std::size_t HttpConnectionPool::body_bytes() const {
  return implementation_->body_budget_->total_bytes();
}

std::uint64_t HttpConnectionPool::oversized() const {
  return implementation_->oversized_;
}

}  // namespace cumin

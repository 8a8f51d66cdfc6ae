#include "cumin_rpc/http_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>

#include <algorithm>

namespace cumin {

namespace {

constexpr std::int64_t kMinTimeoutMs = 1;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

cxxtools::Milliseconds ToTimeout(Duration timeout) {
  return cxxtools::Milliseconds(
      static_cast<double>(std::max(kMinTimeoutMs, ToMillis(timeout))));
}

cxxtools::http::Request ToLibrary(const HttpRequest& request) {
  const std::string query = request.query.empty() ? "" : "?" + request.query;
  cxxtools::http::Request out(request.path + query);
  out.method(request.method);
  for (const HttpHeader& it : request.headers.all()) {
    out.setHeader(it.name.c_str(), it.value.c_str());
  }
  out.body() << request.body;
  return out;
}

HttpResponse FromLibrary(const cxxtools::http::Reply& reply) {
  HttpResponse response;
  response.status = static_cast<int>(reply.httpReturnCode());
  for (const auto& it : reply.header()) {
    response.headers.Set(it.first, it.second);
  }
  response.body = reply.body();
  return response;
}

bool MayHaveBody(const HttpRequest& request, int status) {
  return request.method != "HEAD" && status != kStatusNoContent &&
         status != kStatusNotModified;
}

/** cxxtools throws the same type for every failure; only the text of a failed
    connect differs. An unknown text counts as sent, which is the safe side. */
bool IsConnectFailure(const std::exception& e) {
  static constexpr char kPrefix[] = "while trying to connect to host";
  return std::string(e.what()).rfind(kPrefix, 0) == 0;
}

/** Only a stated length proves a body whole: cxxtools reports a chunked body
    that was cut short, or one that the closed connection ends, as complete. */
bool IsWhole(const HttpRequest& request, const cxxtools::http::Reply& reply) {
  const auto& header = reply.header();
  if (!MayHaveBody(request, static_cast<int>(reply.httpReturnCode()))) {
    return true;
  }
  return !header.chunkedTransferEncoding() &&
         header.hasHeader("Content-Length") &&
         reply.bodySize() == header.contentLength();
}

}  // namespace

struct HttpClient::Connection {
  explicit Connection(const Endpoint& server)
      : client(server.address, server.port) {}

  cxxtools::http::Client client;
};

HttpClient::HttpClient(const Endpoint& server)
    : server_(server), connection_(std::make_unique<Connection>(server)) {}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::Exchange(const HttpRequest& request,
                                          Duration timeout, ConnectionUse use) {
  cxxtools::http::Client& client = connection_->client;
  const std::string source = ToString(server_);
  const cxxtools::Milliseconds limit = ToTimeout(timeout);
  const bool fresh = use == ConnectionUse::kFreshOnly || !was_used_;
  if (fresh) {
    client.close();
  }
  was_used_ = false;
  try {
    client.execute(ToLibrary(request), limit, limit);
    const cxxtools::http::Reply& reply = client.readBody();
    if (!IsWhole(request, reply)) {
      client.close();
      return Error{ErrorCode::kOutcomeUnknown, source, 0, "",
                   "the answer has no Content-Length or was cut short"};
    }
    was_used_ = true;
    return FromLibrary(reply);
  } catch (const std::exception& e) {
    client.close();
    const bool never_sent = fresh && IsConnectFailure(e);
    return Error{
        never_sent ? ErrorCode::kUnavailable : ErrorCode::kOutcomeUnknown,
        source, 0, "", std::string("the exchange failed: ") + e.what()};
  }
}

void HttpClient::Close() {
  connection_->client.close();
  was_used_ = false;
}

}  // namespace cumin

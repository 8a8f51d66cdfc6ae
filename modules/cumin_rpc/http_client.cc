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

cxxtools::Milliseconds ToCxxtoolsTimeout(Duration timeout) {
  return cxxtools::Milliseconds(
      static_cast<double>(std::max(kMinTimeoutMs, ToMillis(timeout))));
}

cxxtools::http::Request ToCxxtoolsRequest(const HttpRequest& request) {
  const std::string query = request.query.empty() ? "" : "?" + request.query;
  cxxtools::http::Request out(request.path + query);
  out.method(request.method);
  for (const HttpHeader& it : request.headers.all()) {
    out.setHeader(it.name.c_str(), it.value.c_str());
  }
  out.body() << request.body;
  return out;
}

HttpResponse FromCxxtoolsReply(const cxxtools::http::Reply& reply) {
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

/** cxxtools throws one exception type for every failure, so a failed connect is
    recognized by its message. With any other message the request is assumed to
    have been sent, so that it is not repeated by mistake. */
bool IsConnectError(const std::exception& e) {
  static constexpr char kConnectErrorPrefix[] =
      "while trying to connect to host";
  return std::string(e.what()).rfind(kConnectErrorPrefix, 0) == 0;
}

/** Accepts a body only if its size matches Content-Length. cxxtools reports a
    truncated chunked body, and a body delimited by the end of the connection,
    as complete. */
bool IsCompleteResponse(const HttpRequest& request,
                        const cxxtools::http::Reply& reply) {
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
  const cxxtools::Milliseconds cxxtools_timeout = ToCxxtoolsTimeout(timeout);
  const bool new_connection = use == ConnectionUse::kFreshOnly || !is_reusable_;
  if (new_connection) {
    client.close();
  }
  is_reusable_ = false;
  try {
    client.execute(ToCxxtoolsRequest(request), cxxtools_timeout,
                   cxxtools_timeout);
    const cxxtools::http::Reply& reply = client.readBody();
    if (!IsCompleteResponse(request, reply)) {
      client.close();
      return Error{ErrorCode::kOutcomeUnknown, source, 0, "",
                   "the answer has no Content-Length or was cut short"};
    }
    is_reusable_ = true;
    return FromCxxtoolsReply(reply);
  } catch (const std::exception& e) {
    client.close();
    const bool not_sent = new_connection && IsConnectError(e);
    return Error{
        not_sent ? ErrorCode::kUnavailable : ErrorCode::kOutcomeUnknown, source,
        0, "", std::string("the exchange failed: ") + e.what()};
  }
}

void HttpClient::Close() {
  connection_->client.close();
  is_reusable_ = false;
}

}  // namespace cumin

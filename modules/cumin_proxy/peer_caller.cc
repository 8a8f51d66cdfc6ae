#include "cumin_proxy/peer_caller.h"

#include <utility>

#include "cumin_proxy/call_headers.h"
#include "cumin_rpc/http_client.h"
#include "cumin_rpc/json_rpc_caller.h"

namespace cumin {

namespace {

constexpr int kStatusOk = 200;
/** " HTTP/1.1", line ends and the empty line. */
constexpr std::size_t kRequestLineBytes = 14;
/** "HTTP/1.1 200 OK", line ends and the empty line. */
constexpr std::size_t kStatusLineBytes = 19;
/** ": " and the line end. */
constexpr std::size_t kHeaderLineBytes = 4;
/** Host, Date, User-Agent, Connection and Content-Length, which the library
 * adds. */
constexpr std::size_t kAddedHeaderBytes = 143;

std::size_t HeaderBytes(const HttpHeaders& headers) {
  std::size_t n = 0;
  for (const HttpHeader& it : headers.all()) {
    n += it.name.size() + it.value.size() + kHeaderLineBytes;
  }
  return n;
}

/** One exchange over HTTP. */
class HttpTransport final : public JsonRpcTransport {
 public:
  HttpTransport(const Endpoint& server, Duration timeout)
      : server_(server), timeout_(timeout) {}

  Result<std::string> Send(const std::string& message) override {
    HttpRequest request;
    request.method = "POST";
    request.path = kRpcPath;
    request.headers.Set("Content-Type", "application/json");
    request.body = message;
    sent_ = WireBytes(request) + kAddedHeaderBytes;
    HttpClient client(server_);
    Result<HttpResponse> response =
        client.Exchange(request, timeout_, ConnectionUse::kFreshOnly);
    if (!response) {
      return response.error();
    }
    received_ = WireBytes(response.value());
    if (response.value().status != kStatusOk) {
      return Error{ErrorCode::kUnavailable, ToString(server_), 0, "",
                   "status " + std::to_string(response.value().status)};
    }
    return std::move(response.value().body);
  }

  std::size_t sent() const { return sent_; }
  std::size_t received() const { return received_; }

 private:
  const Endpoint server_;
  const Duration timeout_;
  std::size_t sent_ = 0;
  std::size_t received_ = 0;
};

}  // namespace

std::size_t WireBytes(const HttpRequest& request) {
  return request.method.size() + request.path.size() + kRequestLineBytes +
         HeaderBytes(request.headers) + request.body.size();
}

std::size_t WireBytes(const HttpResponse& response) {
  return kStatusLineBytes + HeaderBytes(response.headers) +
         response.body.size();
}

PeerCaller::PeerCaller(MetricRegistry& metrics, RegionId own_region)
    : metrics_(metrics),
      own_region_(std::move(own_region)),
      sent_(metrics.GetCounter("control_sent_bytes")),
      received_(metrics.GetCounter("control_received_bytes")) {}

Result<Json::Value> PeerCaller::Call(const Member& peer,
                                     const std::string& method,
                                     const Json::Value& parameters,
                                     Duration timeout) {
  HttpTransport transport(peer.endpoint, timeout);
  Result<Json::Value> result = CallJsonRpc(transport, method, parameters);
  sent_.Add(transport.sent());
  received_.Add(transport.received());
  if (!peer.region.empty() && peer.region != own_region_) {
    metrics_.GetCounter("region_link_" + peer.region.str() + "_bytes")
        .Add(transport.sent() + transport.received());
  }
  return result;
}

}  // namespace cumin

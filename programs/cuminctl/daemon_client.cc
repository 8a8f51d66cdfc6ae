#include "cuminctl/daemon_client.h"

#include <utility>

#include "cumin_rpc/http_client.h"
#include "cumin_rpc/json_rpc_caller.h"

namespace cumin {

namespace {

constexpr int kStatusOk = 200;

/** Carries JSON-RPC messages to one daemon as HTTP POST requests. */
class DaemonTransport final : public JsonRpcTransport {
 public:
  DaemonTransport(const Endpoint& daemon, Duration timeout)
      : client_(daemon), timeout_(timeout) {}

  Result<std::string> Send(const std::string& message) override {
    HttpRequest request;
    request.method = "POST";
    request.path = kRpcPath;
    request.headers.Set("Content-Type", "application/json");
    request.body = message;
    Result<HttpResponse> response =
        client_.Exchange(request, timeout_, ConnectionUse::kFreshOnly);
    if (!response) {
      return response.error();
    }
    if (response.value().status != kStatusOk) {
      return Error{ErrorCode::kUnavailable, ToString(client_.server()), 0, "",
                   "responded with HTTP status " +
                       std::to_string(response.value().status)};
    }
    return std::move(response.value().body);
  }

 private:
  HttpClient client_;
  Duration timeout_;
};

}  // namespace

DaemonClient::DaemonClient(std::vector<Endpoint> daemons, Duration timeout)
    : daemons_(std::move(daemons)), timeout_(timeout) {}

Result<StatusReport> DaemonClient::GatherStatus() {
  const Result<Answer> answer =
      Call(kStatusMethod, Json::Value(Json::objectValue));
  if (!answer) {
    return answer.error();
  }
  return ParseStatusReport(answer.value().value, answer.value().source);
}

Result<std::vector<ConfigVersionRecord>> DaemonClient::ReadHistory(
    std::uint64_t limit) {
  const Result<Answer> answer =
      Call(kHistoryMethod, ToJson(HistoryQuery{limit}));
  if (!answer) {
    return answer.error();
  }
  Result<HistoryAnswer> parsed =
      ParseHistoryAnswer(answer.value().value, answer.value().source);
  if (!parsed) {
    return parsed.error();
  }
  return std::move(parsed.value().history);
}

Result<ConfigBundle> DaemonClient::ReadBundle(std::uint64_t version) {
  const Result<Answer> answer =
      Call(kBundleMethod, ToJson(BundleQuery{version}));
  if (!answer) {
    return answer.error();
  }
  Result<BundleAnswer> parsed =
      ParseBundleAnswer(answer.value().value, answer.value().source);
  if (!parsed) {
    return parsed.error();
  }
  return std::move(parsed.value().bundle);
}

Result<DaemonClient::Answer> DaemonClient::Call(const std::string& method,
                                                const Json::Value& parameters) {
  Error last{ErrorCode::kInvalid, "", 0, "--daemon", "is required"};
  for (const Endpoint& it : daemons_) {
    DaemonTransport transport(it, timeout_);
    Result<Json::Value> value = CallJsonRpc(transport, method, parameters);
    if (value) {
      return Answer{std::move(value.value()), ToString(it)};
    }
    last = value.error();
    last.source = ToString(it);
  }
  return last;
}

}  // namespace cumin

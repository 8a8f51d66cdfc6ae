#include "standins/store_standin/store_standin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "cumin_core/json_text.h"
#include "cumin_store/http_store.h"
#include "cumin_store/kv_codec.h"

namespace cumin::test {

namespace {

constexpr char kKeyPath[] = "/v1/kv/";
constexpr char kSessionPath[] = "/v1/session/";
constexpr int kMaxWaitMs = 600000;
constexpr int kDefaultWaitMs = 300000;
constexpr int kMillisPerSecond = 1000;
constexpr auto kWatchPollInterval = std::chrono::milliseconds(100);

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpResponse MakeResponse(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = body;
  return response;
}

/** @returns the value of a query parameter, or "" when it is absent */
std::string QueryParameter(const std::string& query, const std::string& name) {
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    const std::string field = query.substr(at, end - at);
    if (StartsWith(field, name + "=")) {
      return field.substr(name.size() + 1);
    }
    at = end + 1;
  }
  return "";
}

bool HasQueryParameter(const std::string& query, const std::string& name) {
  return StartsWith(query, name) || query.find("&" + name) != std::string::npos;
}

/** Parses a duration such as "1500ms", "10s" or "2m".
    @returns milliseconds, or -1 when the text is not a valid duration */
int ParseMillis(const std::string& text) {
  char* unit = nullptr;
  const double number = std::strtod(text.c_str(), &unit);
  const std::string name = unit;
  if (text.empty() || number < 0 || number > kMaxWaitMs) {
    return -1;
  }
  if (name == "ms") {
    return static_cast<int>(number);
  }
  if (name == "s") {
    return static_cast<int>(number * kMillisPerSecond);
  }
  return name == "m" ? static_cast<int>(number * kMillisPerSecond * 60) : -1;
}

Json::Value ToJson(const StoreEntry& entry) {
  Json::Value out;
  out["Key"] = entry.key;
  out["Value"] = EncodeBase64(entry.value);
  out["Flags"] = 0;
  out["ModifyIndex"] = static_cast<Json::UInt64>(entry.modify_index);
  if (!entry.lease.empty()) {
    out["Session"] = entry.lease;
  }
  return out;
}

/** Maps a request to the operation that it calls.
    @returns false when the request is not part of the API */
bool Classify(const HttpRequest& request, StoreCall* out) {
  const std::string& path = request.path;
  if (StartsWith(path, kKeyPath) && request.method == "GET") {
    *out = HasQueryParameter(request.query, "index")     ? StoreCall::kWatch
           : HasQueryParameter(request.query, "recurse") ? StoreCall::kList
                                                         : StoreCall::kGet;
    return true;
  }
  if (StartsWith(path, kKeyPath) && request.method == "DELETE") {
    *out = StoreCall::kRemove;
    return true;
  }
  if (request.method != "PUT") {
    return false;
  }
  if (StartsWith(path, kKeyPath) || path == "/v1/txn") {
    *out = StoreCall::kSwap;
  } else if (path == "/v1/session/create") {
    *out = StoreCall::kSessionCreate;
  } else if (StartsWith(path, "/v1/session/renew/")) {
    *out = StoreCall::kSessionRenew;
  } else if (StartsWith(path, "/v1/session/destroy/")) {
    *out = StoreCall::kSessionDestroy;
  } else {
    return false;
  }
  return true;
}

bool IsRead(StoreCall call) {
  return call == StoreCall::kGet || call == StoreCall::kList ||
         call == StoreCall::kWatch;
}

std::string LastPathSegment(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

HttpResponse StoreStandin::Handle(const HttpRequest& request) {
  if (StartsWith(request.path, "/standin/")) {
    return HandleControlRequest(request);
  }
  StoreCall call = StoreCall::kGet;
  if (!Classify(request, &call)) {
    return MakeResponse(404, "unknown path");
  }
  return Serve(request, call);
}

void StoreStandin::Shutdown() {
  const Lock lock(mutex_);
  stopping_ = true;
  state_changed_.notify_all();
}

HttpResponse StoreStandin::HandleControlRequest(const HttpRequest& request) {
  if (request.path == "/standin/fault" && request.method == "PUT") {
    return InjectFaults(request.body);
  }
  if (request.path == "/standin/stats" && request.method == "GET") {
    const Lock lock(mutex_);
    Json::Value stats = meter_.Stats();
    stats["waiting_watches"] = waiting_watches_;
    return MakeResponse(200, ToJsonText(stats));
  }
  return MakeResponse(404, "unknown path");
}

HttpResponse StoreStandin::InjectFaults(const std::string& body) {
  const Result<Json::Value> faults = ParseJson(body, "fault");
  if (!faults || !faults.value().isObject()) {
    return MakeResponse(400, "not a JSON object");
  }
  const Json::Value& set = faults.value();
  const Lock lock(mutex_);
  unavailable_ = set.get("outage", unavailable_).asBool();
  frozen_ = set.get("freeze", frozen_).asBool();
  delay_ms_ = set.get("delay_ms", delay_ms_).asInt();
  responses_to_lose_ = set.get("lose_answers", responses_to_lose_).asInt();
  state_changed_.notify_all();
  return MakeResponse(200, "true");
}

HttpResponse StoreStandin::Serve(const HttpRequest& request, StoreCall call) {
  Lock lock(mutex_);
  if (!meter_.Admit(call, clock_.Now())) {
    return MakeResponse(429, "rate limit exceeded");
  }
  ApplyDelay(lock);
  if (unavailable_) {
    return MakeResponse(503, "outage");
  }
  if (state_.ExpireSessions(clock_.Now())) {
    state_changed_.notify_all();
  }
  if (IsRead(call)) {
    return ServeRead(lock, request.path.substr(sizeof(kKeyPath) - 1),
                     request.query, call);
  }
  HttpResponse response = ServeWrite(request, call);
  state_changed_.notify_all();
  if (responses_to_lose_ > 0) {
    --responses_to_lose_;
    return MakeResponse(500, "the answer was lost");
  }
  return response;
}

HttpResponse StoreStandin::ServeRead(Lock& lock, const std::string& path,
                                     const std::string& query, StoreCall call) {
  if (call == StoreCall::kWatch) {
    WaitForChange(lock, path, query);
    if (unavailable_ || stopping_) {
      return MakeResponse(503, "outage");
    }
  }
  Json::Value found(Json::arrayValue);
  if (HasQueryParameter(query, "recurse")) {
    for (const StoreEntry& it : state_.List(path)) {
      found.append(ToJson(it));
    }
  } else if (const StoreEntry* entry = state_.Find(path)) {
    found.append(ToJson(*entry));
  }
  HttpResponse response = found.empty() ? MakeResponse(404, "")
                                        : MakeResponse(200, ToJsonText(found));
  response.headers.Set("X-Consul-Index",
                       std::to_string(state_.LastChangeIndex(path)));
  return response;
}

HttpResponse StoreStandin::ServeWrite(const HttpRequest& request,
                                      StoreCall call) {
  const std::string name = LastPathSegment(request.path);
  switch (call) {
    case StoreCall::kRemove:
      state_.Remove(request.path.substr(sizeof(kKeyPath) - 1));
      return MakeResponse(200, "true");
    case StoreCall::kSessionCreate:
      return CreateSession(request.body);
    case StoreCall::kSessionRenew:
      return state_.RenewSession(name, clock_.Now())
                 ? MakeResponse(200, "[{\"ID\":\"" + name + "\"}]")
                 : MakeResponse(404, "no such session");
    case StoreCall::kSessionDestroy:
      state_.DestroySession(name);
      return MakeResponse(200, "true");
    default:
      break;
  }
  if (request.path == "/v1/txn") {
    return ServeTransaction(request.body);
  }
  std::uint64_t expected = 0;
  const bool cas_only =
      !HasQueryParameter(request.query, "acquire") &&
      ParseKvIndex(QueryParameter(request.query, "cas"), &expected);
  if (!cas_only) {
    return MakeResponse(400, "needs cas, without other flags");
  }
  if (request.body.size() > kMaxStoreValueBytes) {
    return MakeResponse(413, "value too long");
  }
  const bool swapped = state_.CompareAndSwap(
      request.path.substr(sizeof(kKeyPath) - 1), request.body, expected);
  return MakeResponse(200, swapped ? "true" : "false");
}

HttpResponse StoreStandin::ServeTransaction(const std::string& body) {
  const Result<Json::Value> steps = ParseJson(body, "txn");
  if (!steps || !steps.value().isArray() || steps.value().size() != 2) {
    return MakeResponse(400, "needs a check and a lock");
  }
  const Json::Value& check = steps.value()[0]["KV"];
  const Json::Value& lock = steps.value()[1]["KV"];
  std::string value;
  const bool is_valid =
      lock["Verb"] == "lock" && check["Key"] == lock["Key"] &&
      (check["Verb"] == "check-not-exists" || check["Verb"] == "check-index") &&
      DecodeBase64(lock["Value"].asString(), &value);
  if (!is_valid) {
    return MakeResponse(400, "needs a check and a lock of one key");
  }
  if (value.size() > kMaxStoreValueBytes) {
    return MakeResponse(413, "value too long");
  }
  const bool swapped = state_.CompareSwapAndLock(
      lock["Key"].asString(), value, check.get("Index", 0).asUInt64(),
      lock["Session"].asString());
  return swapped ? MakeResponse(200, R"({"Results":[],"Errors":null})")
                 : MakeResponse(409,
                                R"({"Results":null,"Errors":[{"OpIndex":0}]})");
}

HttpResponse StoreStandin::CreateSession(const std::string& body) {
  const Result<Json::Value> options = ParseJson(body, "session");
  if (!options || !options.value().isObject()) {
    return MakeResponse(400, "not a JSON object");
  }
  const int ttl_ms = ParseMillis(options.value().get("TTL", "15s").asString());
  if (ttl_ms <= 0) {
    return MakeResponse(400, "bad TTL");
  }
  Json::Value answer;
  answer["ID"] =
      state_.CreateSession(std::chrono::milliseconds(ttl_ms), clock_.Now());
  return MakeResponse(200, ToJsonText(answer));
}

void StoreStandin::WaitForChange(Lock& lock, const std::string& prefix,
                                 const std::string& query) {
  std::uint64_t index = 0;
  ParseKvIndex(QueryParameter(query, "index"), &index);
  const std::string wait = QueryParameter(query, "wait");
  const int wait_ms = wait.empty() ? kDefaultWaitMs : ParseMillis(wait);
  const MonoTime until = clock_.Now() + std::chrono::milliseconds(wait_ms);
  ++waiting_watches_;
  while (!stopping_ && !unavailable_ && clock_.Now() < until &&
         state_.LastChangeIndex(prefix) == index) {
    // Polls, so that sessions expire in time without a timer thread.
    state_changed_.wait_for(lock, kWatchPollInterval);
    if (state_.ExpireSessions(clock_.Now())) {
      state_changed_.notify_all();
    }
  }
  --waiting_watches_;
}

void StoreStandin::ApplyDelay(Lock& lock) {
  if (delay_ms_ == 0 && !frozen_) {
    return;
  }
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(delay_ms_);
  state_changed_.wait_until(lock, until, [this] { return stopping_; });
  state_changed_.wait(lock, [this] { return stopping_ || !frozen_; });
}

}  // namespace cumin::test

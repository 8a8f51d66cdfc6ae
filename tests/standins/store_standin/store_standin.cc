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
constexpr auto kWatchStep = std::chrono::milliseconds(100);

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpResponse Answer(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = body;
  return response;
}

/** @returns the value of a query parameter, or "" */
std::string QueryValue(const std::string& query, const std::string& name) {
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

bool HasQuery(const std::string& query, const std::string& name) {
  return StartsWith(query, name) || query.find("&" + name) != std::string::npos;
}

/** Reads "1500ms", "10s" or "2m".
    @returns milliseconds, or -1 */
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

/** Finds the kind of call.
    @returns false for a request that is not of the API */
bool Classify(const HttpRequest& request, StoreCall* out) {
  const std::string& path = request.path;
  if (StartsWith(path, kKeyPath) && request.method == "GET") {
    *out = HasQuery(request.query, "index")     ? StoreCall::kWatch
           : HasQuery(request.query, "recurse") ? StoreCall::kList
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

std::string LastPart(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

HttpResponse StoreStandin::Handle(const HttpRequest& request) {
  if (StartsWith(request.path, "/standin/")) {
    return HandleControl(request);
  }
  StoreCall call = StoreCall::kGet;
  if (!Classify(request, &call)) {
    return Answer(404, "unknown path");
  }
  return Serve(request, call);
}

void StoreStandin::Shutdown() {
  const Lock lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

HttpResponse StoreStandin::HandleControl(const HttpRequest& request) {
  if (request.path == "/standin/fault" && request.method == "PUT") {
    return SetFaults(request.body);
  }
  if (request.path == "/standin/stats" && request.method == "GET") {
    const Lock lock(mutex_);
    Json::Value stats = meter_.Stats();
    stats["waiting_watches"] = waiting_watches_;
    return Answer(200, ToJsonText(stats));
  }
  return Answer(404, "unknown path");
}

HttpResponse StoreStandin::SetFaults(const std::string& body) {
  const Result<Json::Value> faults = ParseJson(body, "fault");
  if (!faults || !faults.value().isObject()) {
    return Answer(400, "not a JSON object");
  }
  const Json::Value& set = faults.value();
  const Lock lock(mutex_);
  outage_ = set.get("outage", outage_).asBool();
  frozen_ = set.get("freeze", frozen_).asBool();
  delay_ms_ = set.get("delay_ms", delay_ms_).asInt();
  answers_to_lose_ = set.get("lose_answers", answers_to_lose_).asInt();
  changed_.notify_all();
  return Answer(200, "true");
}

HttpResponse StoreStandin::Serve(const HttpRequest& request, StoreCall call) {
  Lock lock(mutex_);
  if (!meter_.Admit(call, clock_.Now())) {
    return Answer(429, "rate limit exceeded");
  }
  Delay(lock);
  if (outage_) {
    return Answer(503, "outage");
  }
  if (state_.ExpireSessions(clock_.Now())) {
    changed_.notify_all();
  }
  if (IsRead(call)) {
    return ServeRead(lock, request.path.substr(sizeof(kKeyPath) - 1),
                     request.query, call);
  }
  HttpResponse response = ServeWrite(request, call);
  changed_.notify_all();
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    return Answer(500, "the answer was lost");
  }
  return response;
}

HttpResponse StoreStandin::ServeRead(Lock& lock, const std::string& path,
                                     const std::string& query, StoreCall call) {
  if (call == StoreCall::kWatch) {
    AwaitChange(lock, path, query);
    if (outage_ || stopping_) {
      return Answer(503, "outage");
    }
  }
  Json::Value found(Json::arrayValue);
  if (HasQuery(query, "recurse")) {
    for (const StoreEntry& it : state_.List(path)) {
      found.append(ToJson(it));
    }
  } else if (const StoreEntry* entry = state_.Find(path)) {
    found.append(ToJson(*entry));
  }
  HttpResponse response =
      found.empty() ? Answer(404, "") : Answer(200, ToJsonText(found));
  response.headers.Set("X-Consul-Index", std::to_string(state_.IndexOf(path)));
  return response;
}

HttpResponse StoreStandin::ServeWrite(const HttpRequest& request,
                                      StoreCall call) {
  const std::string name = LastPart(request.path);
  switch (call) {
    case StoreCall::kRemove:
      state_.Remove(request.path.substr(sizeof(kKeyPath) - 1));
      return Answer(200, "true");
    case StoreCall::kSessionCreate:
      return CreateSession(request.body);
    case StoreCall::kSessionRenew:
      return state_.RenewSession(name, clock_.Now())
                 ? Answer(200, "[{\"ID\":\"" + name + "\"}]")
                 : Answer(404, "no such session");
    case StoreCall::kSessionDestroy:
      state_.DestroySession(name);
      return Answer(200, "true");
    default:
      break;
  }
  if (request.path == "/v1/txn") {
    return ServeTransaction(request.body);
  }
  std::uint64_t expected = 0;
  const bool plain = !HasQuery(request.query, "acquire") &&
                     ParseKvIndex(QueryValue(request.query, "cas"), &expected);
  if (!plain) {
    return Answer(400, "needs cas, without other flags");
  }
  if (request.body.size() > kMaxStoreValueBytes) {
    return Answer(413, "value too long");
  }
  const bool swapped = state_.CompareAndSwap(
      request.path.substr(sizeof(kKeyPath) - 1), request.body, expected);
  return Answer(200, swapped ? "true" : "false");
}

HttpResponse StoreStandin::ServeTransaction(const std::string& body) {
  const Result<Json::Value> steps = ParseJson(body, "txn");
  if (!steps || !steps.value().isArray() || steps.value().size() != 2) {
    return Answer(400, "needs a check and a lock");
  }
  const Json::Value& check = steps.value()[0]["KV"];
  const Json::Value& lock = steps.value()[1]["KV"];
  std::string value;
  const bool understood =
      lock["Verb"] == "lock" && check["Key"] == lock["Key"] &&
      (check["Verb"] == "check-not-exists" || check["Verb"] == "check-index") &&
      DecodeBase64(lock["Value"].asString(), &value);
  if (!understood) {
    return Answer(400, "needs a check and a lock of one key");
  }
  if (value.size() > kMaxStoreValueBytes) {
    return Answer(413, "value too long");
  }
  const bool swapped = state_.SwapAndLock(lock["Key"].asString(), value,
                                          check.get("Index", 0).asUInt64(),
                                          lock["Session"].asString());
  return swapped ? Answer(200, R"({"Results":[],"Errors":null})")
                 : Answer(409, R"({"Results":null,"Errors":[{"OpIndex":0}]})");
}

HttpResponse StoreStandin::CreateSession(const std::string& body) {
  const Result<Json::Value> options = ParseJson(body, "session");
  if (!options || !options.value().isObject()) {
    return Answer(400, "not a JSON object");
  }
  const int ttl_ms = ParseMillis(options.value().get("TTL", "15s").asString());
  if (ttl_ms <= 0) {
    return Answer(400, "bad TTL");
  }
  Json::Value answer;
  answer["ID"] =
      state_.CreateSession(std::chrono::milliseconds(ttl_ms), clock_.Now());
  return Answer(200, ToJsonText(answer));
}

void StoreStandin::AwaitChange(Lock& lock, const std::string& prefix,
                               const std::string& query) {
  std::uint64_t index = 0;
  ParseKvIndex(QueryValue(query, "index"), &index);
  const std::string wait = QueryValue(query, "wait");
  const int wait_ms = wait.empty() ? kDefaultWaitMs : ParseMillis(wait);
  const MonoTime until = clock_.Now() + std::chrono::milliseconds(wait_ms);
  ++waiting_watches_;
  while (!stopping_ && !outage_ && clock_.Now() < until &&
         state_.IndexOf(prefix) == index) {
    // Steps, so that sessions end in time without a thread of their own.
    changed_.wait_for(lock, kWatchStep);
    if (state_.ExpireSessions(clock_.Now())) {
      changed_.notify_all();
    }
  }
  --waiting_watches_;
}

void StoreStandin::Delay(Lock& lock) {
  if (delay_ms_ == 0 && !frozen_) {
    return;
  }
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(delay_ms_);
  changed_.wait_until(lock, until, [this] { return stopping_; });
  changed_.wait(lock, [this] { return stopping_ || !frozen_; });
}

}  // namespace cumin::test

#include "cumin_store/http_store.h"

#include <cctype>
#include <utility>

#include "cumin_core/json_text.h"
#include "cumin_store/kv_codec.h"

namespace cumin {

namespace {

constexpr std::size_t kMaxIdleConnections = 4;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr char kKeyPath[] = "/v1/kv/";
constexpr char kIndexHeader[] = "X-Consul-Index";
/** The store adds up to wait / 16 as jitter. */
constexpr int kWatchJitterDivisor = 16;

/** @returns whether the store rejected the request before processing it */
bool IsRefusedStatus(int status) {
  return status == kStatusTooManyRequests || status == kStatusUnavailable;
}

std::string StatusReason(const HttpResponse& response) {
  return "the store answered status " + std::to_string(response.status);
}

Json::Value MakeTransactionStep(const std::string& verb,
                                const std::string& key) {
  Json::Value step;
  step["KV"]["Verb"] = verb;
  step["KV"]["Key"] = key;
  return step;
}

}  // namespace

HttpStore::HttpStore(const Endpoint& server, Duration timeout)
    : server_(server),
      timeout_(timeout),
      calls_(kMaxIdleConnections),
      watches_(kMaxIdleConnections) {}

Result<StoreEntry> HttpStore::Get(const std::string& key) {
  const Result<HttpResponse> response = Read(calls_, key, "", timeout_);
  if (!response) {
    return response.error();
  }
  if (response.value().status == kStatusNotFound) {
    return Error{ErrorCode::kNotFound, key, 0, "", "the store has no such key"};
  }
  Result<std::vector<StoreEntry>> entries =
      DecodeKvEntries(response.value().body, ToString(server_));
  if (!entries) {
    return entries.error();
  }
  if (entries.value().size() != 1 || entries.value()[0].key != key) {
    return ProtocolError("the answer has no entry for the key " + key);
  }
  return std::move(entries.value()[0]);
}

Result<StoreListing> HttpStore::List(const std::string& prefix) {
  return ReadListing(calls_, prefix, "recurse=true", timeout_);
}

Result<StoreListing> HttpStore::Watch(const std::string& prefix,
                                      std::uint64_t index, Duration wait) {
  const std::string query = "recurse=true&index=" + std::to_string(index) +
                            "&wait=" + std::to_string(ToMillis(wait)) + "ms";
  // Watches have their own connection pool, so a failed one closes no idle
  // connection of calls_. The store may delay its answer by the jitter.
  return ReadListing(watches_, prefix, query,
                     wait + wait / kWatchJitterDivisor + timeout_);
}

Result<void> HttpStore::CompareAndSwap(const std::string& key,
                                       const std::string& value,
                                       std::uint64_t expected,
                                       const std::string& lease) {
  if (value.size() > kMaxStoreValueBytes) {
    return Error{ErrorCode::kInvalid, key, 0, "",
                 "the value has " + std::to_string(value.size()) +
                     " bytes; the store takes at most " +
                     std::to_string(kMaxStoreValueBytes)};
  }
  if (!lease.empty()) {
    return SwapUnderLease(key, value, expected, lease);
  }
  const Result<HttpResponse> response =
      Write("PUT", kKeyPath + EncodeUrlPath(key),
            "cas=" + std::to_string(expected), value);
  if (!response) {
    return response.error();
  }
  return ExpectTrue(response.value(), key);
}

Result<void> HttpStore::Remove(const std::string& key) {
  const Result<HttpResponse> response =
      Write("DELETE", kKeyPath + EncodeUrlPath(key), "", "");
  if (!response) {
    return response.error();
  }
  return ExpectTrue(response.value(), key);
}

Result<std::string> HttpStore::GrantLease(Duration length) {
  Json::Value options;
  options["TTL"] = std::to_string(ToMillis(length)) + "ms";
  options["Behavior"] = "delete";
  // The default lock delay keeps a released key locked for another 15 s.
  options["LockDelay"] = "0s";
  const Result<HttpResponse> response =
      Write("PUT", "/v1/session/create", "", ToJsonText(options));
  if (!response) {
    return response.error();
  }
  const Result<Json::Value> answer =
      ParseJson(response.value().body, ToString(server_));
  const bool has_id = answer && answer.value().isObject() &&
                      answer.value()["ID"].isString() &&
                      !answer.value()["ID"].asString().empty();
  if (!has_id) {
    return ProtocolError("the answer to a session creation has no ID");
  }
  return answer.value()["ID"].asString();
}

Result<void> HttpStore::RenewLease(const std::string& lease) {
  const Result<HttpResponse> response =
      Write("PUT", "/v1/session/renew/" + EncodeUrlPath(lease), "", "");
  if (!response) {
    return response.error();
  }
  if (response.value().status == kStatusNotFound) {
    return Error{ErrorCode::kNotFound, lease, 0, "", "the lease has ended"};
  }
  const Result<Json::Value> answer =
      ParseJson(response.value().body, ToString(server_));
  if (!answer || !answer.value().isArray() || answer.value().empty()) {
    return ProtocolError("the answer to a renewal lists no session");
  }
  return Ok();
}

Result<void> HttpStore::RevokeLease(const std::string& lease) {
  const Result<HttpResponse> response =
      Write("PUT", "/v1/session/destroy/" + EncodeUrlPath(lease), "", "");
  if (!response) {
    return response.error();
  }
  return ExpectTrue(response.value(), lease);
}

Result<HttpResponse> HttpStore::Read(HttpClientPool& pool,
                                     const std::string& key,
                                     const std::string& query,
                                     Duration timeout) {
  HttpRequest request;
  request.path = kKeyPath + EncodeUrlPath(key);
  request.query = query;
  Result<HttpResponse> response =
      pool.Exchange(server_, request, timeout, ConnectionUse::kMayReuse);
  if (!response) {
    // The idle connections may be dead as well.
    pool.Forget(server_);
    Error error = response.error();
    error.code = ErrorCode::kUnavailable;
    return error;
  }
  const int status = response.value().status;
  if (status != kStatusOk && status != kStatusNotFound) {
    return Error{ErrorCode::kUnavailable, ToString(server_), 0, "",
                 StatusReason(response.value())};
  }
  return response;
}

Result<HttpResponse> HttpStore::Write(const std::string& method,
                                      const std::string& path,
                                      const std::string& query,
                                      const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.query = query;
  request.body = body;
  Result<HttpResponse> response =
      calls_.Exchange(server_, request, timeout_, ConnectionUse::kFreshOnly);
  if (!response) {
    return response;
  }
  const int status = response.value().status;
  const bool is_expected = status == kStatusOk || status == kStatusNotFound ||
                           status == kStatusConflict;
  if (is_expected) {
    return response;
  }
  return Error{IsRefusedStatus(status) ? ErrorCode::kUnavailable
                                       : ErrorCode::kOutcomeUnknown,
               ToString(server_), 0, "", StatusReason(response.value())};
}

Result<StoreListing> HttpStore::ReadListing(HttpClientPool& pool,
                                            const std::string& prefix,
                                            const std::string& query,
                                            Duration timeout) {
  const Result<HttpResponse> response = Read(pool, prefix, query, timeout);
  if (!response) {
    return response.error();
  }
  StoreListing listing;
  if (!ParseKvIndex(response.value().headers.Get(kIndexHeader),
                    &listing.index)) {
    return ProtocolError(std::string("the answer has no ") + kIndexHeader);
  }
  if (response.value().status == kStatusNotFound) {
    return listing;
  }
  Result<std::vector<StoreEntry>> entries =
      DecodeKvEntries(response.value().body, ToString(server_));
  if (!entries) {
    return entries.error();
  }
  listing.entries = std::move(entries.value());
  return listing;
}

Result<void> HttpStore::SwapUnderLease(const std::string& key,
                                       const std::string& value,
                                       std::uint64_t expected,
                                       const std::string& lease) {
  Json::Value check = MakeTransactionStep("check-index", key);
  if (expected == kAbsentIndex) {
    check = MakeTransactionStep("check-not-exists", key);
  } else {
    check["KV"]["Index"] = static_cast<Json::UInt64>(expected);
  }
  Json::Value lock = MakeTransactionStep("lock", key);
  lock["KV"]["Value"] = EncodeBase64(value);
  lock["KV"]["Session"] = lease;
  Json::Value steps(Json::arrayValue);
  steps.append(check);
  steps.append(lock);
  const Result<HttpResponse> response =
      Write("PUT", "/v1/txn", "", ToJsonText(steps));
  if (!response) {
    return response.error();
  }
  if (response.value().status == kStatusConflict) {
    return Error{ErrorCode::kConflict, key, 0, "",
                 "the key has changed or the lease has ended"};
  }
  const Result<Json::Value> answer =
      ParseJson(response.value().body, ToString(server_));
  const bool is_applied = response.value().status == kStatusOk && answer &&
                          answer.value().isObject() &&
                          answer.value()["Results"].isArray();
  if (!is_applied) {
    return ProtocolError("the answer to a transaction lists no results");
  }
  return Ok();
}

Result<void> HttpStore::ExpectTrue(const HttpResponse& response,
                                   const std::string& key) {
  std::string text = response.body;
  while (!text.empty() &&
         std::isspace(static_cast<unsigned char>(text.back()))) {
    text.pop_back();
  }
  if (response.status == kStatusOk && text == "true") {
    return Ok();
  }
  if (response.status == kStatusOk && text == "false") {
    return Error{ErrorCode::kConflict, key, 0, "",
                 "the key has changed since it was read"};
  }
  return ProtocolError("the answer to a write is neither true nor false");
}

Error HttpStore::ProtocolError(const std::string& reason) const {
  return Error{ErrorCode::kProtocol, ToString(server_), 0, "", reason};
}

}  // namespace cumin

#include "standins/platform_store/platform_store_standin.h"

#include "base64.h"
#include "cumin_core/json_text.h"

namespace cumin::test {

namespace {

using platform::DecodeBase64;
using platform::EncodeBase64;

constexpr Duration kPollInterval = std::chrono::milliseconds(5);

HttpResponse MakeResponse(int status, const Json::Value& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = ToJsonText(body);
  return response;
}

std::string PercentDecode(const std::string& text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 3 <= text.size()) {
      decoded += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexBase));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

/** @returns the value of a query parameter, or "" when it is absent */
std::string QueryParameter(const std::string& query, const std::string& name) {
  const std::string text = "&" + query;
  const std::size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size() + 2;
  return PercentDecode(text.substr(from, text.find('&', from) - from));
}

std::uint64_t ParseNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Task<HttpResponse> PlatformStoreStandin::Handle(HttpRequest request,
                                                CallerWatch& /*caller*/) {
  HttpResponse response = co_await Execute(std::move(request));
  response.headers.Set("Store-Era", std::to_string(era_));
  co_return response;
}

void PlatformStoreStandin::ComeBackFromCopy() {
  items_ = copy_;
  revision_ = copy_revision_;
  compacted_revision_ = copy_revision_;
  changes_.clear();
  era_ += 1;
  ExpireAllLeases();
}

Task<HttpResponse> PlatformStoreStandin::Execute(HttpRequest request) {
  calls += 1;
  if (is_down) {
    co_return MakeResponse(503, Json::Value(Json::objectValue));
  }
  if (request.path == "/kv-key") {
    co_return GetKey(request.query);
  }
  if (request.path == "/kv-range") {
    co_return ListRange(request.query);
  }
  if (request.path == "/kv-watch") {
    co_return co_await WatchPrefix(request.query);
  }
  HttpResponse response = request.path == "/kv-txn"
                              ? ExecuteTransaction(request.body)
                              : HandleLease(request);
  while (answers_to_lose > 0) {
    // The response is held back; the caller times out and disconnects.
    co_await SleepFor(kPollInterval);
  }
  co_return response;
}

void PlatformStoreStandin::Put(const std::string& key,
                               const std::string& value) {
  SetKey(key, value, 0);
}

void PlatformStoreStandin::ExpireAllLeases() {
  leases_.clear();
  std::vector<std::string> leased_keys;
  for (const auto& [key, item] : items_) {
    if (item.lease != 0) {
      leased_keys.push_back(key);
    }
  }
  for (const std::string& it : leased_keys) {
    RemoveKey(it);
  }
}

HttpResponse PlatformStoreStandin::GetKey(const std::string& query) const {
  const std::string key = QueryParameter(query, "key");
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return MakeResponse(404, Json::Value(Json::objectValue));
  }
  Json::Value body = ToJson(key, found->second);
  body["as-of"] = Json::UInt64{revision_};
  return MakeResponse(200, body);
}

HttpResponse PlatformStoreStandin::ListRange(const std::string& query) const {
  const std::string prefix = QueryParameter(query, "prefix");
  const std::string after = QueryParameter(query, "after");
  Json::Value body;
  body["items"] = Json::Value(Json::arrayValue);
  body["has-more"] = false;
  for (const auto& [key, item] : items_) {
    if (!StartsWith(key, prefix) || key <= after) {
      continue;
    }
    if (body["items"].size() >= page_size) {
      body["has-more"] = true;
      break;
    }
    body["items"].append(ToJson(key, item));
  }
  body["as-of"] = Json::UInt64{revision_};
  return MakeResponse(200, body);
}

Task<HttpResponse> PlatformStoreStandin::WatchPrefix(std::string query) {
  const std::string prefix = QueryParameter(query, "prefix");
  const std::uint64_t after = ParseNumber(QueryParameter(query, "after"));
  Duration remaining =
      std::chrono::milliseconds(ParseNumber(QueryParameter(query, "wait-ms")));
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  while (true) {
    if (is_down) {
      co_return MakeResponse(503, Json::Value(Json::objectValue));
    }
    if (after < compacted_revision_ && compacted_revision_ > 1) {
      co_return MakeResponse(410, Json::Value(Json::objectValue));
    }
    for (const Change& it : changes_) {
      const auto found = items_.find(it.key);
      const bool is_newest =
          found != items_.end() && found->second.revision == it.revision;
      if (it.revision <= after || !StartsWith(it.key, prefix)) {
        continue;
      }
      if (is_newest) {
        body["events"].append(ToJson(it.key, found->second));
      } else if (it.is_removal) {
        Json::Value event;
        event["key"] = it.key;
        event["rev"] = Json::UInt64{it.revision};
        event["tombstone"] = true;
        body["events"].append(event);
      }
    }
    if (!body["events"].empty() || remaining <= Duration::zero()) {
      body["as-of"] = Json::UInt64{revision_};
      co_return MakeResponse(200, body);
    }
    co_await SleepFor(kPollInterval);
    remaining -= kPollInterval;
  }
}

HttpResponse PlatformStoreStandin::ExecuteTransaction(const std::string& text) {
  const Result<Json::Value> parsed = ParseJson(text, "caller");
  if (!parsed) {
    return MakeResponse(400, Json::Value(Json::objectValue));
  }
  const Json::Value& body = parsed.value();
  for (const Json::Value& it : body["precondition"]) {
    const auto found = items_.find(it["key"].asString());
    const std::uint64_t now =
        found == items_.end() ? 0 : found->second.revision;
    if (now != it["rev"].asUInt64()) {
      return MakeResponse(412, Json::Value(Json::objectValue));
    }
  }
  for (const Json::Value& it : body["set-keys"]) {
    const std::uint64_t lease = it["lease"].asUInt64();
    std::string value;
    if (lease != 0 && leases_.count(lease) == 0) {
      return MakeResponse(404, Json::Value(Json::objectValue));
    }
    if (!DecodeBase64(it["value"].asString(), &value)) {
      return MakeResponse(400, Json::Value(Json::objectValue));
    }
    SetKey(it["key"].asString(), value, lease);
  }
  for (const Json::Value& it : body["delete"]) {
    RemoveKey(it.asString());
  }
  Json::Value answer;
  answer["rev"] = Json::UInt64{revision_};
  return MakeResponse(200, answer);
}

HttpResponse PlatformStoreStandin::HandleLease(const HttpRequest& request) {
  Json::Value answer;
  if (request.path == "/kv-lease") {
    leases_[next_lease_] = true;
    answer["lease"] = Json::UInt64{next_lease_++};
    answer["ttl-s"] = 3;
    return MakeResponse(200, answer);
  }
  const std::uint64_t lease =
      ParseNumber(request.path.substr(request.path.rfind('/') + 1));
  if (leases_.count(lease) == 0) {
    return MakeResponse(404, Json::Value(Json::objectValue));
  }
  answer["ttl-s"] = 3;
  if (request.method == "DELETE") {
    leases_.erase(lease);
    std::vector<std::string> leased_keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        leased_keys.push_back(key);
      }
    }
    for (const std::string& it : leased_keys) {
      RemoveKey(it);
    }
  }
  return MakeResponse(200, answer);
}

Json::Value PlatformStoreStandin::ToJson(const std::string& key,
                                         const Item& item) const {
  Json::Value value;
  value["key"] = key;
  value["value"] = EncodeBase64(item.value);
  value["rev"] = Json::UInt64{item.revision};
  value["create-rev"] = Json::UInt64{item.revision};
  value["lease"] = Json::UInt64{item.lease};
  return value;
}

void PlatformStoreStandin::SetKey(const std::string& key,
                                  const std::string& value,
                                  std::uint64_t lease) {
  revision_ += 1;
  items_[key] = Item{value, revision_, lease};
  changes_.push_back(Change{revision_, key, false});
}

void PlatformStoreStandin::RemoveKey(const std::string& key) {
  if (items_.erase(key) > 0) {
    revision_ += 1;
    changes_.push_back(Change{revision_, key, true});
  }
}

}  // namespace cumin::test

#include "standins/platform_store/platform_store_standin.h"

#include "base64.h"
#include "cumin_core/json_text.h"

namespace cumin::test {

namespace {

using platform::DecodeBase64;
using platform::EncodeBase64;

constexpr Duration kWatchStep = std::chrono::milliseconds(5);

HttpResponse Answer(int status, const Json::Value& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = ToJsonText(body);
  return response;
}

/** @returns the value of a query parameter, or "" */
std::string Parameter(const std::string& query, const std::string& name) {
  const std::string text = "&" + query;
  const std::size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size() + 2;
  return text.substr(from, text.find('&', from) - from);
}

std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Task<HttpResponse> PlatformStoreStandin::Handle(HttpRequest request,
                                                CallerWatch& /*caller*/) {
  calls += 1;
  if (is_down) {
    co_return Answer(503, Json::Value(Json::objectValue));
  }
  if (request.path == "/kv-key") {
    co_return Get(request.query);
  }
  if (request.path == "/kv-range") {
    co_return Range(request.query);
  }
  if (request.path == "/kv-watch") {
    co_return co_await Watch(request.query);
  }
  HttpResponse response =
      request.path == "/kv-txn" ? Transact(request.body) : Lease(request);
  while (answers_to_lose > 0) {
    // The caller gives up; nothing more comes on this connection.
    co_await SleepFor(kWatchStep);
  }
  co_return response;
}

void PlatformStoreStandin::Put(const std::string& key,
                               const std::string& value) {
  Set(key, value, 0);
}

void PlatformStoreStandin::ExpireAllLeases() {
  leases_.clear();
  std::vector<std::string> held;
  for (const auto& [key, item] : items_) {
    if (item.lease != 0) {
      held.push_back(key);
    }
  }
  for (const std::string& it : held) {
    Remove(it);
  }
}

HttpResponse PlatformStoreStandin::Get(const std::string& query) const {
  const std::string key = Parameter(query, "key");
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return Answer(404, Json::Value(Json::objectValue));
  }
  Json::Value body = Describe(key, found->second);
  body["as-of"] = Json::UInt64{revision_};
  return Answer(200, body);
}

HttpResponse PlatformStoreStandin::Range(const std::string& query) const {
  const std::string prefix = Parameter(query, "prefix");
  const std::string after = Parameter(query, "after");
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
    body["items"].append(Describe(key, item));
  }
  body["as-of"] = Json::UInt64{revision_};
  return Answer(200, body);
}

Task<HttpResponse> PlatformStoreStandin::Watch(std::string query) {
  const std::string prefix = Parameter(query, "prefix");
  const std::uint64_t after = Number(Parameter(query, "after"));
  Duration left =
      std::chrono::milliseconds(Number(Parameter(query, "wait-ms")));
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  while (true) {
    if (is_down) {
      co_return Answer(503, Json::Value(Json::objectValue));
    }
    if (after < oldest_known_ && oldest_known_ > 1) {
      co_return Answer(410, Json::Value(Json::objectValue));
    }
    for (const Change& it : changes_) {
      const auto found = items_.find(it.key);
      const bool is_newest =
          found != items_.end() && found->second.revision == it.revision;
      if (it.revision <= after || !StartsWith(it.key, prefix)) {
        continue;
      }
      if (is_newest) {
        body["events"].append(Describe(it.key, found->second));
      } else if (it.is_removal) {
        Json::Value event;
        event["key"] = it.key;
        event["rev"] = Json::UInt64{it.revision};
        event["tombstone"] = true;
        body["events"].append(event);
      }
    }
    if (!body["events"].empty() || left <= Duration::zero()) {
      body["as-of"] = Json::UInt64{revision_};
      co_return Answer(200, body);
    }
    co_await SleepFor(kWatchStep);
    left -= kWatchStep;
  }
}

HttpResponse PlatformStoreStandin::Transact(const std::string& text) {
  const Result<Json::Value> parsed = ParseJson(text, "caller");
  if (!parsed) {
    return Answer(400, Json::Value(Json::objectValue));
  }
  const Json::Value& body = parsed.value();
  for (const Json::Value& it : body["precondition"]) {
    const auto found = items_.find(it["key"].asString());
    const std::uint64_t now =
        found == items_.end() ? 0 : found->second.revision;
    if (now != it["rev"].asUInt64()) {
      return Answer(412, Json::Value(Json::objectValue));
    }
  }
  for (const Json::Value& it : body["set-keys"]) {
    const std::uint64_t lease = it["lease"].asUInt64();
    std::string value;
    if (lease != 0 && leases_.count(lease) == 0) {
      return Answer(404, Json::Value(Json::objectValue));
    }
    if (!DecodeBase64(it["value"].asString(), &value)) {
      return Answer(400, Json::Value(Json::objectValue));
    }
    Set(it["key"].asString(), value, lease);
  }
  for (const Json::Value& it : body["delete"]) {
    Remove(it.asString());
  }
  Json::Value answer;
  answer["rev"] = Json::UInt64{revision_};
  return Answer(200, answer);
}

HttpResponse PlatformStoreStandin::Lease(const HttpRequest& request) {
  Json::Value answer;
  if (request.path == "/kv-lease") {
    leases_[next_lease_] = true;
    answer["lease"] = Json::UInt64{next_lease_++};
    answer["ttl-s"] = 3;
    return Answer(200, answer);
  }
  const std::uint64_t lease =
      Number(request.path.substr(request.path.rfind('/') + 1));
  if (leases_.count(lease) == 0) {
    return Answer(404, Json::Value(Json::objectValue));
  }
  answer["ttl-s"] = 3;
  if (request.method == "DELETE") {
    leases_.erase(lease);
    std::vector<std::string> held;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        held.push_back(key);
      }
    }
    for (const std::string& it : held) {
      Remove(it);
    }
  }
  return Answer(200, answer);
}

Json::Value PlatformStoreStandin::Describe(const std::string& key,
                                           const Item& item) const {
  Json::Value value;
  value["key"] = key;
  value["value"] = EncodeBase64(item.value);
  value["rev"] = Json::UInt64{item.revision};
  value["create-rev"] = Json::UInt64{item.revision};
  value["lease"] = Json::UInt64{item.lease};
  return value;
}

void PlatformStoreStandin::Set(const std::string& key, const std::string& value,
                               std::uint64_t lease) {
  revision_ += 1;
  items_[key] = Item{value, revision_, lease};
  changes_.push_back(Change{revision_, key, false});
}

void PlatformStoreStandin::Remove(const std::string& key) {
  if (items_.erase(key) > 0) {
    revision_ += 1;
    changes_.push_back(Change{revision_, key, true});
  }
}

}  // namespace cumin::test

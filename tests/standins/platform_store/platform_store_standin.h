#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cumin_http/http_listener.h"
#include "cumin_http/wake_up.h"

namespace cumin::test {

/** Stand-in for the platform's store with its published HTTP API: items, paged
    ranges, watches, conditional transactions and leases.

    The public members inject faults. Runs on a single event loop.
*/
class PlatformStoreStandin final : public HttpRequestHandler {
 public:
  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;

  /** Writes a key without a lease or precondition, as an operator does. */
  void Put(const std::string& key, const std::string& value);

  /** Expires every lease and removes the keys attached to them. */
  void ExpireAllLeases();

  /** Discards the change history: watches from an earlier revision get 410. */
  void CompactHistory() { compacted_revision_ = revision_; }

  /** Keeps a copy of the items as they are now. */
  void TakeCopy() {
    copy_ = items_;
    copy_revision_ = revision_;
  }

  /** The store comes back from the copy, in the next era: what was written
      since is gone, leases too, and its revisions are given out again. */
  void ComeBackFromCopy();

  /** @returns whether the key exists */
  bool Has(const std::string& key) const { return items_.count(key) > 0; }

  /** Whether every call fails with 503 and has no effect. */
  bool is_down = false;
  /** While positive, transactions and lease calls take effect but their
      responses are held back. */
  int answers_to_lose = 0;
  /** Maximum number of items per page of a range. */
  std::size_t page_size = 500;
  /** Number of calls received. */
  int calls = 0;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    bool is_removal = false;
  };

  HttpResponse GetKey(const std::string& query) const;
  HttpResponse ListRange(const std::string& query) const;
  Task<HttpResponse> WatchPrefix(std::string query);
  HttpResponse ExecuteTransaction(const std::string& body);
  HttpResponse HandleLease(const HttpRequest& request);
  Json::Value ToJson(const std::string& key, const Item& item) const;
  void SetKey(const std::string& key, const std::string& value,
              std::uint64_t lease);
  void RemoveKey(const std::string& key);

  Task<HttpResponse> Execute(HttpRequest request);

  std::map<std::string, Item> items_;
  std::map<std::string, Item> copy_;
  std::uint64_t copy_revision_ = 0;
  std::uint64_t era_ = 1;
  std::vector<Change> changes_;
  std::map<std::uint64_t, bool> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_revision_ = 1;
  std::uint64_t next_lease_ = 1;
};

}  // namespace cumin::test

#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cumin_http/http_listener.h"
#include "cumin_http/wake_up.h"

namespace cumin::test {

/** Plays the platform's store behind its published HTTP API: items, ranges with
    pages, watches, transactions with conditions and leases.

    Faults are switched on by the members below. Runs on one event loop.
*/
class PlatformStoreStandin final : public HttpRequestHandler {
 public:
  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;

  /** Writes a key as the operator does. */
  void Put(const std::string& key, const std::string& value);

  /** Ends every lease and removes its keys. */
  void ExpireAllLeases();

  /** Forgets which changes led to the present items. */
  void CompactHistory() { oldest_known_ = revision_; }

  /** @returns whether the key exists */
  bool Has(const std::string& key) const { return items_.count(key) > 0; }

  /** Every call is answered 503 and does nothing. */
  bool is_down = false;
  /** This many calls that change something are done and not answered. */
  int answers_to_lose = 0;
  /** Items in one answer of a range at most. */
  std::size_t page_size = 500;
  /** Calls so far. */
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

  HttpResponse Get(const std::string& query) const;
  HttpResponse Range(const std::string& query) const;
  Task<HttpResponse> Watch(std::string query);
  HttpResponse Transact(const std::string& body);
  HttpResponse Lease(const HttpRequest& request);
  Json::Value Describe(const std::string& key, const Item& item) const;
  void Set(const std::string& key, const std::string& value,
           std::uint64_t lease);
  void Remove(const std::string& key);

  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::map<std::uint64_t, bool> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_known_ = 1;
  std::uint64_t next_lease_ = 1;
};

}  // namespace cumin::test

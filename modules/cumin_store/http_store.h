#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_rpc/http_client_pool.h"
#include "cumin_store/store.h"

namespace cumin {

/** Maximum size of a value in the platform's store. */
constexpr std::size_t kMaxStoreValueBytes = std::size_t{1024} * 1024;

/** Store client for the HTTP API of Consul's KV store and sessions.

    Thread-safe. Each write opens a new connection, because the HTTP library
    silently resends a request when a reused connection fails. Reads and watches
    reuse connections from separate pools. A compare-and-swap with a lease is
    one transaction (`/v1/txn`), because the API rejects `cas` together with
    `acquire`.

    Error codes in addition to those of Store: kInvalid when a value is too
    long, in which case nothing is sent, and kProtocol when a response does not
    conform to the API; a write with such a response may have taken effect.
*/
class HttpStore final : public Store {
 public:
  /** Does not connect yet.
      @param server   the store's address
      @param timeout  maximum time without data from the store; a watch adds its
                      wait */
  HttpStore(const Endpoint& server, Duration timeout);

  Result<StoreEntry> Get(const std::string& key) override;
  Result<StoreListing> List(const std::string& prefix) override;
  Result<StoreListing> Watch(const std::string& prefix, std::uint64_t index,
                             Duration wait) override;
  Result<void> CompareAndSwap(const std::string& key, const std::string& value,
                              std::uint64_t expected,
                              const std::string& lease) override;
  Result<void> Remove(const std::string& key) override;
  Result<std::string> GrantLease(Duration length) override;
  Result<void> RenewLease(const std::string& lease) override;
  Result<void> RevokeLease(const std::string& lease) override;

 private:
  Result<HttpResponse> Read(HttpClientPool& pool, const std::string& key,
                            const std::string& query, Duration timeout);
  Result<HttpResponse> Write(const std::string& method, const std::string& path,
                             const std::string& query, const std::string& body);
  Result<StoreListing> ReadListing(HttpClientPool& pool,
                                   const std::string& prefix,
                                   const std::string& query, Duration timeout);
  Result<void> SwapUnderLease(const std::string& key, const std::string& value,
                              std::uint64_t expected, const std::string& lease);
  Result<void> ExpectTrue(const HttpResponse& response, const std::string& key);
  Error ProtocolError(const std::string& reason) const;

  Endpoint server_;
  Duration timeout_;
  HttpClientPool calls_;
  HttpClientPool watches_;
};

}  // namespace cumin

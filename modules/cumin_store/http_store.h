#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_rpc/http_client_pool.h"
#include "cumin_store/store.h"

namespace cumin {

/** The longest value that the platform's store takes. */
constexpr std::size_t kMaxStoreValueBytes = std::size_t{1024} * 1024;

/** The platform's store over the HTTP API of Consul's KV store and sessions.

    Any number of threads may call it. A write goes out on a connection of its
    own, since the HTTP library silently resends a request when a reused
    connection fails; reads and watches reuse connections, watches apart from
    calls. A leased compare-and-swap is one transaction (`/v1/txn`), because
    the API refuses `cas` together with `acquire`.

    Besides the codes that Store lists: kInvalid for a value that is too long,
    with nothing sent, and kProtocol for an answer that is not of this API; a
    write answered that way may have taken effect.
*/
class HttpStore final : public Store {
 public:
  /** @param server   the store's address; nothing is sent yet
      @param timeout  longest silence from the store; a watch adds its wait */
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

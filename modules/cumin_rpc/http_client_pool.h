#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "cumin_rpc/http_client.h"

namespace cumin {

/** Thread-safe pool of idle keep-alive connections, grouped by server.

    The mutex is held only to acquire or release a connection, not during an
    exchange.
*/
class HttpClientPool {
 public:
  /** @param max_idle  maximum number of idle connections per server */
  explicit HttpClientPool(std::size_t max_idle) : max_idle_(max_idle) {}

  /** Runs one exchange on an idle connection or on a new one. The connection
      returns to the pool only after a complete response.
      @see HttpClient::Exchange */
  Result<HttpResponse> Exchange(const Endpoint& server,
                                const HttpRequest& request, Duration timeout,
                                ConnectionUse use);

  /** Closes the idle connections to a server. */
  void Forget(const Endpoint& server);

 private:
  using ClientList = std::vector<std::unique_ptr<HttpClient>>;

  std::unique_ptr<HttpClient> Acquire(const Endpoint& server,
                                      ConnectionUse use);
  void Release(std::unique_ptr<HttpClient> client);

  std::size_t max_idle_;
  std::mutex mutex_;
  std::map<Endpoint, ClientList> idle_;
};

}  // namespace cumin

#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "cumin_rpc/http_client.h"

namespace cumin {

/** Idle connections by server, shared by threads.

    One mutex guards the table; it is held only while a connection is taken or
    put back.
*/
class HttpClientPool {
 public:
  /** @param max_idle  idle connections kept for each server */
  explicit HttpClientPool(std::size_t max_idle) : max_idle_(max_idle) {}

  /** Runs one exchange on an idle connection, or on a new one.
      A connection goes back to the pool only after a whole answer.
      @see HttpClient::Exchange */
  Result<HttpResponse> Exchange(const Endpoint& server,
                                const HttpRequest& request, Duration timeout,
                                ConnectionUse use);

  /** Closes the idle connections to a server. */
  void Forget(const Endpoint& server);

 private:
  using Idle = std::vector<std::unique_ptr<HttpClient>>;

  std::unique_ptr<HttpClient> Take(const Endpoint& server, ConnectionUse use);
  void PutBack(std::unique_ptr<HttpClient> client);

  std::size_t max_idle_;
  std::mutex mutex_;
  std::map<Endpoint, Idle> idle_;
};

}  // namespace cumin

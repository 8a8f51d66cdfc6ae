#include "cumin_rpc/http_client_pool.h"

#include <utility>

namespace cumin {

Result<HttpResponse> HttpClientPool::Exchange(const Endpoint& server,
                                              const HttpRequest& request,
                                              Duration timeout,
                                              ConnectionUse use) {
  std::unique_ptr<HttpClient> client = Acquire(server, use);
  Result<HttpResponse> response = client->Exchange(request, timeout, use);
  if (response) {
    Release(std::move(client));
  }
  return response;
}

void HttpClientPool::Forget(const Endpoint& server) {
  ClientList closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  closing.swap(idle_[server]);
}

std::unique_ptr<HttpClient> HttpClientPool::Acquire(const Endpoint& server,
                                                    ConnectionUse use) {
  if (use == ConnectionUse::kMayReuse) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ClientList& idle = idle_[server];
    if (!idle.empty()) {
      std::unique_ptr<HttpClient> client = std::move(idle.back());
      idle.pop_back();
      return client;
    }
  }
  return std::make_unique<HttpClient>(server);
}

void HttpClientPool::Release(std::unique_ptr<HttpClient> client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ClientList& idle = idle_[client->server()];
  if (idle.size() < max_idle_) {
    idle.push_back(std::move(client));
  }
}

}  // namespace cumin

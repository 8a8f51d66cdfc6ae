#include "standins/target_standin/raw_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace cumin::test {

namespace {

constexpr int kBacklog = 512;

void EnableSocketOption(int fd, int level, int option) {
  const int on = 1;
  setsockopt(fd, level, option, &on, sizeof(on));
}

}  // namespace

RawListener::~RawListener() { Stop(); }

Result<Endpoint> RawListener::Start(const Endpoint& listen) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  EnableSocketOption(fd_, SOL_SOCKET, SO_REUSEADDR);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(listen.port);
  inet_pton(AF_INET, listen.address.c_str(), &name.sin_addr);
  socklen_t length = sizeof(name);
  auto* raw = reinterpret_cast<sockaddr*>(&name);
  if (bind(fd_, raw, length) != 0 || getsockname(fd_, raw, &length) != 0 ||
      ::listen(fd_, kBacklog) != 0) {
    return Error{ErrorCode::kUnavailable, ToString(listen), 0, "",
                 std::string("cannot listen: ") + std::strerror(errno)};
  }
  accept_thread_ = std::thread([this] { AcceptConnections(); });
  return Endpoint{listen.address, ntohs(name.sin_port)};
}

void RawListener::Stop() {
  if (!accept_thread_.joinable()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    for (const auto& it : connections_) {
      it->Interrupt();
    }
  }
  shutdown(fd_, SHUT_RDWR);
  accept_thread_.join();
  close(fd_);
  std::unique_lock<std::mutex> lock(mutex_);
  connection_closed_.wait(lock, [this] { return connections_.empty(); });
}

void RawListener::AcceptConnections() {
  while (true) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      if (fd >= 0) {
        close(fd);
      }
      return;
    }
    if (fd < 0) {
      continue;
    }
    EnableSocketOption(fd, IPPROTO_TCP, TCP_NODELAY);
    auto connection = std::make_shared<RawConnection>(fd);
    connections_.push_back(connection);
    std::thread([this, connection] { ServeConnection(connection); }).detach();
  }
}

void RawListener::ServeConnection(
    const std::shared_ptr<RawConnection>& connection) {
  handler_.Serve(*connection);
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.remove(connection);
  connection_closed_.notify_all();
}

}  // namespace cumin::test

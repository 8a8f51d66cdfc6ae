#include "support/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace cumin::test {

namespace {

constexpr int kBacklog = 16;
constexpr int kBufferBytes = 4096;

}  // namespace

RawServer::RawServer(std::string response, AfterAnswer after_response,
                     std::string repeated_part)
    : response_(std::move(response)),
      after_response_(after_response),
      repeated_part_(std::move(repeated_part)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(name);
  auto* raw = reinterpret_cast<sockaddr*>(&name);
  if (bind(listener_, raw, length) != 0 ||
      getsockname(listener_, raw, &length) != 0 ||
      listen(listener_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  endpoint_ = Endpoint{"127.0.0.1", ntohs(name.sin_port)};
  thread_ = std::thread([this] { Run(); });
}

RawServer::~RawServer() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
}

void RawServer::Run() {
  while (!stopping_) {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0) {
      continue;
    }
    Serve(fd);
    close(fd);
  }
}

bool RawServer::Write(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
    bytes_written_ += static_cast<std::size_t>(n);
  }
  return true;
}

void RawServer::Serve(int fd) {
  char buf[kBufferBytes];
  if (read(fd, buf, sizeof(buf)) <= 0) {
    return;
  }
  ++requests_;
  const bool response_sent = Write(fd, response_);
  if (!response_sent || after_response_ == AfterAnswer::kClose) {
    return;
  }
  if (after_response_ == AfterAnswer::kWriteWithoutEnd) {
    while (Write(fd, repeated_part_)) {
    }
    return;
  }
  if (read(fd, buf, sizeof(buf)) > 0) {
    ++requests_;
  }
}

}  // namespace cumin::test

#include "cumin_http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cerrno>

namespace cumin {

namespace {

void SetInt(int socket, int level, int name, int value) {
  // Failure is ignored: a platform without the option keeps its default, and
  // the timeouts of the exchanges still apply.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

ssize_t Peek(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  return recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

void SetTcpOptions(boost::asio::ip::tcp::socket& socket,
                   const TcpLivenessOptions& options) {
  const int fd = socket.native_handle();
  const auto interval = std::max<std::int64_t>(
      1,
      std::chrono::duration_cast<std::chrono::seconds>(options.probe_interval)
          .count());
  SetInt(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetInt(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInt(fd, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(interval));
  SetInt(fd, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(interval));
  SetInt(fd, IPPROTO_TCP, TCP_KEEPCNT, options.probe_count);
  SetInt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
         static_cast<int>(ToMillis(options.user_timeout)));
}

bool HasUnexpectedInput(boost::asio::ip::tcp::socket& socket) {
  return Peek(socket) >= 0 || !WouldBlock();
}

bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket) {
  const ssize_t n = Peek(socket);
  return n == 0 || (n < 0 && !WouldBlock());
}

boost::asio::ip::tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address_v4(endpoint.address), endpoint.port};
}

}  // namespace cumin

#include "support/loopback.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <mutex>
#include <set>

namespace cumin::test {

std::string UniqueLoopbackAddress(int n) {
  // 64,000 processes have addresses of their own; pids wrap at 32,768 or later.
  const int pid = getpid();
  const int low = pid % 250;
  const int high = pid / 250 % 250;
  return "127." + std::to_string(1 + high) + "." + std::to_string(1 + low) +
         "." + std::to_string(1 + n);
}

Endpoint FreeEndpoint(const std::string& address) {
  static std::mutex mutex;
  static std::set<Endpoint> given;
  const std::lock_guard<std::mutex> lock(mutex);
  boost::asio::io_context loop;
  while (true) {
    boost::asio::ip::tcp::acceptor acceptor(
        loop, {boost::asio::ip::make_address(address), 0});
    const Endpoint drawn{address, acceptor.local_endpoint().port()};
    // Nobody listens on the earlier ones yet, so they may be drawn again.
    if (given.insert(drawn).second) {
      return drawn;
    }
  }
}

}  // namespace cumin::test

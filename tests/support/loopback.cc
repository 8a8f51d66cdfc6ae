#include "support/loopback.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <mutex>
#include <set>

namespace cumin::test {

std::string UniqueLoopbackAddress(int n) {
  // 62,500 pids map to distinct addresses; pids wrap around at 32,768 or later.
  const int pid = getpid();
  const int low = pid % 250;
  const int high = pid / 250 % 250;
  return "127." + std::to_string(1 + high) + "." + std::to_string(1 + low) +
         "." + std::to_string(1 + n);
}

Endpoint FreeEndpoint(const std::string& address) {
  static std::mutex mutex;
  static std::set<Endpoint> returned;
  const std::lock_guard<std::mutex> lock(mutex);
  boost::asio::io_context loop;
  while (true) {
    boost::asio::ip::tcp::acceptor acceptor(
        loop, {boost::asio::ip::make_address(address), 0});
    const Endpoint candidate{address, acceptor.local_endpoint().port()};
    // Nothing may listen on the earlier ones yet, so the kernel can pick them
    // again.
    if (returned.insert(candidate).second) {
      return candidate;
    }
  }
}

}  // namespace cumin::test

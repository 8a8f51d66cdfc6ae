#include "cumin_http/connect_probe.h"

#include <boost/beast/core/tcp_stream.hpp>

#include "cumin_http/socket_options.h"

namespace cumin {

Task<ConnectProbe> ProbeConnect(Endpoint to, Duration timeout) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  boost::system::error_code ec;
  co_await stream.async_connect(ToTcp(to),
                                asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    co_return ConnectProbe::kAccepted;
  }
  co_return ec == asio::error::connection_refused ? ConnectProbe::kRefused
                                                  : ConnectProbe::kUnknown;
}

}  // namespace cumin

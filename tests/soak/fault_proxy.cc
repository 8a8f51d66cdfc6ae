#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/write.hpp>
#include <list>
#include <utility>

namespace cumin::test {

namespace {

using asio::ip::tcp;

/** Several round trips between regions, and below every timeout, so that calls
    become slow but do not fail. */
constexpr Duration kLinkDelay = std::chrono::milliseconds(80);
constexpr Duration kPollInterval = std::chrono::milliseconds(5);
constexpr std::size_t kBufferBytes = 16384;

tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/** A connection from a caller and the one to the server that belongs to it. */
struct Relay {
  explicit Relay(tcp::socket accepted)
      : caller(std::move(accepted)), server(caller.get_executor()) {}

  void Reset() {
    is_closed = true;
    boost::system::error_code ec;
    caller.set_option(asio::socket_base::linger(true, 0), ec);
    server.set_option(asio::socket_base::linger(true, 0), ec);
    caller.close(ec);
    server.close(ec);
  }

  tcp::socket caller;
  tcp::socket server;
  bool is_closed = false;
};

}  // namespace

const char* ToString(LinkFault fault) {
  switch (fault) {
    case LinkFault::kNone:
      return "none";
    case LinkFault::kDelayed:
      return "delayed";
    case LinkFault::kReset:
      return "reset";
    case LinkFault::kSilent:
      return "silent";
    case LinkFault::kOneWay:
      return "one-way";
    case LinkFault::kRefused:
      return "refused";
  }
  return "";
}

class FaultProxy::Implementation
    : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(const asio::any_io_executor& executor, Endpoint to)
      : executor_(executor), acceptor_(executor), destination_(std::move(to)) {}

  Result<Endpoint> Start() {
    const boost::system::error_code ec = Listen(0);
    if (ec) {
      return Error{ErrorCode::kUnavailable, "", 0, "", ec.message()};
    }
    port_ = acceptor_.local_endpoint().port();
    return Endpoint{"127.0.0.1", port_};
  }

  void Stop() {
    boost::system::error_code ec;
    acceptor_.close(ec);
    ResetAll();
  }

  void SetFault(LinkFault fault) {
    const bool held_bytes =
        fault_ == LinkFault::kSilent || fault_ == LinkFault::kOneWay;
    const bool was_refused = fault_ == LinkFault::kRefused;
    fault_ = fault;
    if (fault == LinkFault::kRefused) {
      Stop();
    } else if (was_refused) {
      (void)Listen(port_);
    } else if (fault == LinkFault::kReset || held_bytes) {
      ResetAll();
    }
  }

 private:
  using Self = std::shared_ptr<Implementation>;

  /** @param port  0 picks a free one */
  boost::system::error_code Listen(std::uint16_t port) {
    boost::system::error_code ec;
    acceptor_.open(tcp::v4(), ec);
    acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    acceptor_.bind({asio::ip::address_v4::loopback(), port}, ec);
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec) {
      asio::co_spawn(executor_, AcceptForever(shared_from_this()),
                     asio::detached);
    }
    return ec;
  }

  static Task<void> AcceptForever(Self self) {
    while (self->acceptor_.is_open()) {
      boost::system::error_code ec;
      tcp::socket socket = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      auto relay = std::make_shared<Relay>(std::move(socket));
      if (self->fault_ == LinkFault::kReset) {
        relay->Reset();
        continue;
      }
      self->relays_.remove_if(
          [](const std::weak_ptr<Relay>& it) { return it.expired(); });
      self->relays_.push_back(relay);
      asio::co_spawn(self->executor_, RunRelay(self, relay), asio::detached);
    }
  }

  static Task<void> RunRelay(Self self, std::shared_ptr<Relay> relay) {
    boost::system::error_code ec;
    co_await relay->server.async_connect(
        ToTcp(self->destination_),
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      relay->Reset();
      co_return;
    }
    asio::co_spawn(self->executor_,
                   CopyBytes(self, relay, relay->caller, relay->server, false),
                   asio::detached);
    co_await CopyBytes(self, relay, relay->server, relay->caller, true);
  }

  static Task<void> CopyBytes(Self self, std::shared_ptr<Relay> relay,
                              tcp::socket& from, tcp::socket& to,
                              bool is_from_server) {
    std::array<char, kBufferBytes> buffer{};
    while (!relay->is_closed) {
      boost::system::error_code ec;
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      while (!relay->is_closed && self->HoldsBack(is_from_server)) {
        co_await SleepFor(kPollInterval);
      }
      if (self->fault_ == LinkFault::kDelayed) {
        co_await SleepFor(kLinkDelay);
      }
      if (relay->is_closed) {
        co_return;
      }
      if (ec) {
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
      }
      co_await asio::async_write(to, asio::buffer(buffer.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        relay->Reset();
        co_return;
      }
    }
  }

  bool HoldsBack(bool is_from_server) const {
    return fault_ == LinkFault::kSilent ||
           (fault_ == LinkFault::kOneWay && is_from_server);
  }

  void ResetAll() {
    for (const std::weak_ptr<Relay>& it : relays_) {
      if (const std::shared_ptr<Relay> relay = it.lock()) {
        relay->Reset();
      }
    }
    relays_.clear();
  }

  asio::any_io_executor executor_;
  tcp::acceptor acceptor_;
  const Endpoint destination_;
  std::uint16_t port_ = 0;
  LinkFault fault_ = LinkFault::kNone;
  std::list<std::weak_ptr<Relay>> relays_;
};

FaultProxy::FaultProxy(const asio::any_io_executor& executor, Endpoint to)
    : implementation_(
          std::make_shared<Implementation>(executor, std::move(to))) {}

FaultProxy::~FaultProxy() { implementation_->Stop(); }

Result<Endpoint> FaultProxy::Start() { return implementation_->Start(); }

void FaultProxy::SetFault(LinkFault fault) { implementation_->SetFault(fault); }

}  // namespace cumin::test

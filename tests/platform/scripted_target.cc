#include "platform/endless_target.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "cumin_http/socket_options.h"

namespace cumin::platform {

namespace {

using boost::system::error_code;

/** In place of the attempt's id in the text of a shape. */
constexpr char kIdMark[] = "<id>";
const char* const kHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: <id>\r\nX-Response-Signature: s\r\n";

std::string Filler() { return std::string(std::size_t{32} * 1024, 'x'); }

/** @returns the text between two marks, or "" */
std::string Between(const std::string& text, const std::string& begin,
                    const std::string& end) {
  const std::size_t at = text.find(begin);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t first = at + begin.size();
  return text.substr(first, text.find(end, first) - first);
}

std::string WithId(std::string text, const std::string& id) {
  const std::size_t at = text.find(kIdMark);
  if (at != std::string::npos) {
    text.replace(at, sizeof(kIdMark) - 1, id);
  }
  return text;
}

const EndlessShape* FindShape(const std::string& path) {
  for (const EndlessShape& it : EndlessTarget::Shapes()) {
    const std::string name = it.name;
    if (path.size() >= name.size() &&
        path.compare(path.size() - name.size(), name.size(), name) == 0) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace

const std::vector<EndlessShape>& EndlessTarget::Shapes() {
  static const std::string head = kHead;
  static const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n";
  static const std::string trailer =
      "Trailer: " + std::string(100, 'x') + "\r\n";
  static const std::vector<EndlessShape> shapes = {
      {"no-answer", "", Filler()},
      {"status-line", "HTTP/1.1 200 ", Filler()},
      {"header", head + "Filler: ", Filler()},
      {"headers", head, trailer},
      {"length-body", head + "Content-Length: 1000000000000\r\n\r\n", Filler()},
      {"chunked-body", chunked, "8000\r\n" + Filler() + "\r\n"},
      {"unframed-body", head + "Connection: close\r\n\r\n", Filler()},
      {"chunk-extension", chunked + "8;name=", Filler()},
      {"trailer", chunked + "0\r\nFiller: ", Filler()},
      {"trailers", chunked + "0\r\n", trailer},
      {"interim", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"after-answer", head + "Content-Length: 2\r\n\r\nok", Filler(), true}};
  return shapes;
}

EndlessTarget::EndlessTarget(const asio::any_io_executor& executor)
    : acceptor_(executor) {}

Endpoint EndlessTarget::Start() {
  const auto any = ToTcp(Endpoint{"127.0.0.1", 0});
  acceptor_.open(any.protocol());
  acceptor_.bind(any);
  acceptor_.listen();
  asio::co_spawn(acceptor_.get_executor(), Accept(), asio::detached);
  return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()};
}

Task<void> EndlessTarget::Accept() {
  while (acceptor_.is_open()) {
    error_code ec;
    asio::ip::tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                   asio::detached);
  }
}

Task<void> EndlessTarget::Serve(asio::ip::tcp::socket socket) {
  std::string request;
  error_code ec;
  co_await asio::async_read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    co_return;
  }
  const EndlessShape* const shape =
      FindShape(Between(request, " ", " HTTP/1.1"));
  std::string answer = kHead;
  if (shape != nullptr) {
    answer = shape->begin;
  } else {
    answer +=
        "Connection: close\r\nContent-Length: " + std::to_string(kAnswerBytes) +
        "\r\n\r\n" + std::string(kAnswerBytes, 'a');
  }
  answer =
      WithId(std::move(answer), Between(request, "X-Attempt-Id: ", "\r\n"));
  co_await asio::async_write(socket, asio::buffer(answer),
                             asio::redirect_error(asio::use_awaitable, ec));
  while (!ec && shape != nullptr) {
    co_await asio::async_write(socket, asio::buffer(shape->repeated),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
}

}  // namespace cumin::platform

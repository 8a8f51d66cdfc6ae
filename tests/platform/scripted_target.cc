#include "platform/scripted_target.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <utility>

#include "cumin_http/socket_options.h"

namespace cumin::platform {

namespace {

using boost::system::error_code;

constexpr Duration kCopyDelay = std::chrono::milliseconds(20);
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

const EndlessShape* FindShape(const std::string& name) {
  for (const EndlessShape& it : ScriptedTarget::Shapes()) {
    if (name == it.name) {
      return &it;
    }
  }
  return nullptr;
}

/** @returns the bytes of an answer that the name says breaks off, or "" */
std::string CutAnswer(const std::string& name) {
  if (name == "cut-header") {
    return std::string(kHead) + "Content-Le";
  }
  if (name == "cut-body") {
    return std::string(kHead) + "Content-Length: 100\r\n\r\nbegin";
  }
  if (name == "cut-chunk") {
    return std::string(kHead) +
           "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n";
  }
  return "";
}

/** @returns the bytes that the name asks for in place of an answer: a message
    with a status line that HTTP does not know; or "" */
std::string OddAnswer(const std::string& name) {
  static const std::map<std::string, std::string> lines = {
      {"status-000", "HTTP/1.1 000 OK"}, {"status-099", "HTTP/1.1 099 OK"},
      {"status-20", "HTTP/1.1 20 OK"},   {"status-2000", "HTTP/1.1 2000 OK"},
      {"status-600", "HTTP/1.1 600 OK"}, {"status-999", "HTTP/1.1 999 OK"},
      {"status-101", "HTTP/1.1 101 OK"}, {"no-status", "HTTP/1.1"},
      {"no-version", "200 OK"}};
  const auto found = lines.find(name);
  if (found == lines.end()) {
    return "";
  }
  return found->second +
         "\r\nX-Attempt-Id: <id>\r\nX-Response-Signature: s\r\n"
         "Content-Length: 2\r\n\r\nok";
}

/** Reads one request with a body of the length that its header tells.
    @returns its header, or "" when the connection has ended */
Task<std::string> ReadRequest(asio::ip::tcp::socket& socket, std::string& buf) {
  error_code ec;
  const std::size_t n = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(buf), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, ec));
  std::string head = buf.substr(0, n);
  const std::string length = Between(head, "Content-Length: ", "\r\n");
  const std::size_t end = n + (length.empty() ? 0 : std::stoul(length));
  if (!ec && buf.size() < end) {
    co_await asio::async_read(socket, asio::dynamic_buffer(buf),
                              asio::transfer_exactly(end - buf.size()),
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  if (ec) {
    co_return "";
  }
  buf.erase(0, end);
  co_return head;
}

}  // namespace

const std::vector<EndlessShape>& ScriptedTarget::Shapes() {
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

ScriptedTarget::ScriptedTarget(const asio::any_io_executor& executor)
    : acceptor_(executor) {}

Endpoint ScriptedTarget::Start() {
  const auto any = ToTcp(Endpoint{"127.0.0.1", 0});
  acceptor_.open(any.protocol());
  acceptor_.bind(any);
  acceptor_.listen();
  asio::co_spawn(acceptor_.get_executor(), Accept(), asio::detached);
  return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()};
}

Task<void> ScriptedTarget::Accept() {
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

Task<void> ScriptedTarget::Serve(asio::ip::tcp::socket socket) {
  std::string buf;
  error_code ec;
  while (!ec) {
    const std::string request = co_await ReadRequest(socket, buf);
    if (request.empty()) {
      co_return;
    }
    runs_ += 1;
    const std::string path = Between(request, " ", " HTTP/1.1");
    const std::string name = path.substr(path.rfind('/') + 1);
    const std::string id = Between(request, "X-Attempt-Id: ", "\r\n");
    const EndlessShape* const shape = FindShape(name);
    const std::string cut_answer = CutAnswer(name);
    const std::string odd_answer = OddAnswer(name);
    std::string answer;
    if (shape != nullptr) {
      answer = shape->begin;
    } else if (name == "lost" || !cut_answer.empty()) {
      answer = cut_answer;
    } else if (!odd_answer.empty()) {
      answer = odd_answer;
    } else {
      std::string body = id;
      body.resize(kAnswerBytes, 'a');
      answer = kHead + std::string("Content-Length: ") +
               std::to_string(kAnswerBytes) + "\r\n\r\n" + body;
    }
    answer = WithId(std::move(answer), id);
    co_await asio::async_write(socket, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (name == "copy") {
      co_await SleepFor(kCopyDelay);
      co_await asio::async_write(socket, asio::buffer(answer),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    while (!ec && shape != nullptr) {
      co_await asio::async_write(socket, asio::buffer(shape->repeated),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    if (name == "lost" || !cut_answer.empty()) {
      co_return;
    }
  }
}

}  // namespace cumin::platform

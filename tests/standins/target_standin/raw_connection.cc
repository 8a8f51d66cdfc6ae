#include "standins/target_standin/raw_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace cumin::test {

namespace {

constexpr std::size_t kMaxHeaderBytes = 65536;
constexpr std::size_t kReceiveBufferBytes = 16384;
constexpr char kHeaderEnd[] = "\r\n\r\n";

/** Parses a header line of the form "name: value".
    @returns false when the line has no colon */
bool ParseHeaderLine(const std::string& line, HttpHeaders* out) {
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::size_t begin = line.find_first_not_of(' ', colon + 1);
  const std::size_t end = line.find_last_not_of("\r ");
  const bool empty = begin == std::string::npos || end < begin;
  out->Set(line.substr(0, colon),
           empty ? "" : line.substr(begin, end - begin + 1));
  return true;
}

std::optional<HttpRequest> ParseRequestHeader(const std::string& head) {
  std::istringstream in(head);
  HttpRequest request;
  std::string url;
  std::string line;
  if (!(in >> request.method >> url) || !std::getline(in, line)) {
    return std::nullopt;
  }
  const std::size_t question = std::min(url.find('?'), url.size());
  request.path = url.substr(0, question);
  request.query = url.substr(std::min(question + 1, url.size()));
  while (std::getline(in, line) && line != "\r") {
    if (!ParseHeaderLine(line, &request.headers)) {
      return std::nullopt;
    }
  }
  return request;
}

}  // namespace

RawConnection::~RawConnection() { close(fd_); }

std::optional<HttpRequest> RawConnection::Read() {
  std::size_t header_bytes = 0;
  if (!ReceiveHeader(&header_bytes)) {
    return std::nullopt;
  }
  std::optional<HttpRequest> request =
      ParseRequestHeader(buffer_.substr(0, header_bytes));
  if (!request) {
    return std::nullopt;
  }
  const std::string length = request->headers.Get("Content-Length");
  const std::size_t body_bytes = std::strtoul(length.c_str(), nullptr, 10);
  if (!ReceiveAtLeast(header_bytes + body_bytes)) {
    return std::nullopt;
  }
  request->body = buffer_.substr(header_bytes, body_bytes);
  buffer_.erase(0, header_bytes + body_bytes);
  return request;
}

bool RawConnection::Write(const HttpResponse& response,
                          std::size_t omitted_bytes) {
  std::ostringstream out;
  out << "HTTP/1.1 " << response.status << " Answer\r\n";
  for (const HttpHeader& it : response.headers.all()) {
    out << it.name << ": " << it.value << "\r\n";
  }
  out << "Content-Length: " << response.body.size() << kHeaderEnd;
  const std::size_t sent_bytes =
      response.body.size() - std::min(omitted_bytes, response.body.size());
  const std::string bytes = out.str() + response.body.substr(0, sent_bytes);
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool RawConnection::WaitWhileOpen(Duration wait) {
  pollfd watched{fd_, POLLRDHUP, 0};
  return poll(&watched, 1, static_cast<int>(ToMillis(wait))) == 0;
}

void RawConnection::DiscardInput() {
  while (Receive()) {
    buffer_.clear();
  }
}

void RawConnection::Interrupt() { shutdown(fd_, SHUT_RDWR); }

bool RawConnection::ReceiveHeader(std::size_t* header_bytes) {
  while (buffer_.size() <= kMaxHeaderBytes) {
    const std::size_t at = buffer_.find(kHeaderEnd);
    if (at != std::string::npos) {
      *header_bytes = at + sizeof(kHeaderEnd) - 1;
      return true;
    }
    if (!Receive()) {
      return false;
    }
  }
  return false;
}

bool RawConnection::ReceiveAtLeast(std::size_t size) {
  while (buffer_.size() < size) {
    if (!Receive()) {
      return false;
    }
  }
  return true;
}

bool RawConnection::Receive() {
  char buf[kReceiveBufferBytes];
  const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(buf, static_cast<std::size_t>(n));
  return true;
}

}  // namespace cumin::test

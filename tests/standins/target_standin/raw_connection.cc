#include "standins/target_standin/raw_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace cumin::test {

namespace {

constexpr std::size_t kMaxHeadBytes = 65536;
constexpr std::size_t kReadBytes = 16384;
constexpr char kBlankLine[] = "\r\n\r\n";

/** Splits "name: value".
    @returns false for another line */
bool ParseHeader(const std::string& line, HttpHeaders* out) {
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

std::optional<HttpRequest> ParseHead(const std::string& head) {
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
    if (!ParseHeader(line, &request.headers)) {
      return std::nullopt;
    }
  }
  return request;
}

}  // namespace

RawConnection::~RawConnection() { close(fd_); }

std::optional<HttpRequest> RawConnection::Read() {
  std::size_t head_bytes = 0;
  if (!FillUntilBlankLine(&head_bytes)) {
    return std::nullopt;
  }
  std::optional<HttpRequest> request = ParseHead(buffer_.substr(0, head_bytes));
  if (!request) {
    return std::nullopt;
  }
  const std::string length = request->headers.Get("Content-Length");
  const std::size_t body_bytes = std::strtoul(length.c_str(), nullptr, 10);
  if (!FillTo(head_bytes + body_bytes)) {
    return std::nullopt;
  }
  request->body = buffer_.substr(head_bytes, body_bytes);
  buffer_.erase(0, head_bytes + body_bytes);
  return request;
}

bool RawConnection::Write(const HttpResponse& response, std::size_t missing) {
  std::ostringstream out;
  out << "HTTP/1.1 " << response.status << " Answer\r\n";
  for (const HttpHeader& it : response.headers.all()) {
    out << it.name << ": " << it.value << "\r\n";
  }
  out << "Content-Length: " << response.body.size() << kBlankLine;
  const std::size_t sent_bytes =
      response.body.size() - std::min(missing, response.body.size());
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

bool RawConnection::StaysOpenFor(Duration wait) {
  pollfd watched{fd_, POLLRDHUP, 0};
  return poll(&watched, 1, static_cast<int>(ToMillis(wait))) == 0;
}

void RawConnection::Swallow() {
  while (Fill()) {
    buffer_.clear();
  }
}

void RawConnection::Interrupt() { shutdown(fd_, SHUT_RDWR); }

bool RawConnection::FillUntilBlankLine(std::size_t* end_of_head) {
  while (buffer_.size() <= kMaxHeadBytes) {
    const std::size_t at = buffer_.find(kBlankLine);
    if (at != std::string::npos) {
      *end_of_head = at + sizeof(kBlankLine) - 1;
      return true;
    }
    if (!Fill()) {
      return false;
    }
  }
  return false;
}

bool RawConnection::FillTo(std::size_t size) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  return true;
}

bool RawConnection::Fill() {
  char buf[kReadBytes];
  const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(buf, static_cast<std::size_t>(n));
  return true;
}

}  // namespace cumin::test

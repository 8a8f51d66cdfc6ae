#include "cumin_rpc/http_server.h"

#include <arpa/inet.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <istream>
#include <ostream>
#include <thread>

namespace cumin {

namespace {

constexpr int kBindAttempts = 20;
constexpr int kStatusPayloadTooLarge = 413;
constexpr int kStatusInternalServerError = 500;

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

class HandlerResponder final : public cxxtools::http::Responder {
 public:
  HandlerResponder(cxxtools::http::Service& service, HttpHandler& handler,
                   std::size_t max_body_bytes)
      : cxxtools::http::Responder(service),
        handler_(handler),
        max_body_bytes_(max_body_bytes) {}

  void beginRequest(cxxtools::net::TcpSocket& /*socket*/, std::istream& /*in*/,
                    cxxtools::http::Request& /*request*/) override {
    body_.clear();
    too_large_ = false;
  }

  std::size_t readBody(std::istream& in) override {
    std::size_t n = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const int c = in.rdbuf()->sbumpc();
      ++n;
      if (body_.size() < max_body_bytes_) {
        body_ += static_cast<char>(c);
      } else {
        too_large_ = true;
      }
    }
    return n;
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    HttpResponse response;
    if (too_large_) {
      response.status = kStatusPayloadTooLarge;
      response.body = "the body has more than " +
                      std::to_string(max_body_bytes_) + " bytes\n";
    } else {
      response = handler_.Handle(FromCxxtoolsRequest(request));
    }
    reply.httpReturn(response.status, ReasonPhrase(response.status));
    for (const HttpHeader& it : response.headers.all()) {
      reply.setHeader(it.name.c_str(), it.value.c_str());
    }
    out << response.body;
  }

  void replyError(std::ostream& out, cxxtools::http::Request& /*request*/,
                  cxxtools::http::Reply& reply,
                  const std::exception& ex) override {
    reply.httpReturn(kStatusInternalServerError,
                     ReasonPhrase(kStatusInternalServerError));
    out << ex.what() << '\n';
  }

 private:
  HttpRequest FromCxxtoolsRequest(const cxxtools::http::Request& request) {
    HttpRequest out;
    out.method = request.method();
    out.path = request.url();
    out.query = request.qparams();
    for (const auto& it : request.header()) {
      out.headers.Set(it.first, it.second);
    }
    out.body = std::move(body_);
    return out;
  }

  HttpHandler& handler_;
  std::size_t max_body_bytes_;
  std::string body_;
  bool too_large_ = false;
};

class HandlerService final : public cxxtools::http::Service {
 public:
  HandlerService(HttpHandler& handler, std::size_t max_body_bytes)
      : handler_(handler), max_body_bytes_(max_body_bytes) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new HandlerResponder(*this, handler_, max_body_bytes_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  HttpHandler& handler_;
  std::size_t max_body_bytes_;
};

/** Finds a free port for port 0, because cxxtools does not report which port it
    bound. Start retries, since the port may be taken in between. */
std::uint16_t FindFreePort(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, address.c_str(), &name.sin_addr);
  socklen_t length = sizeof(name);
  auto* raw = reinterpret_cast<sockaddr*>(&name);
  const bool bound =
      bind(fd, raw, length) == 0 && getsockname(fd, raw, &length) == 0;
  close(fd);
  return bound ? ntohs(name.sin_port) : 0;
}

}  // namespace

struct HttpServer::Implementation {
  Implementation(HttpHandler& handler, const HttpServerOptions& options)
      : options(options), service(handler, options.max_body_bytes) {}

  void Listen(const Endpoint& listen) {
    loop = std::make_unique<cxxtools::EventLoop>();
    server = std::make_unique<cxxtools::http::Server>(*loop);
    server->minThreads(options.min_threads);
    server->maxThreads(options.max_threads);
    server->addService(cxxtools::Regex(".*"), service);
    server->listen(listen.address, listen.port);
  }

  HttpServerOptions options;
  HandlerService service;
  std::unique_ptr<cxxtools::EventLoop> loop;
  std::unique_ptr<cxxtools::http::Server> server;
  std::thread thread;
};

HttpServer::HttpServer(HttpHandler& handler, const HttpServerOptions& options)
    : implementation_(std::make_unique<Implementation>(handler, options)) {}

HttpServer::~HttpServer() { Stop(); }

Result<Endpoint> HttpServer::Start(const Endpoint& listen) {
  std::string last_error;
  const int attempts = listen.port == 0 ? kBindAttempts : 1;
  for (int i = 0; i < attempts; ++i) {
    Endpoint bound = listen;
    try {
      if (listen.port == 0) {
        bound.port = FindFreePort(listen.address);
      }
      implementation_->Listen(bound);
      cxxtools::EventLoop* loop = implementation_->loop.get();
      implementation_->thread = std::thread([loop] { loop->run(); });
      return bound;
    } catch (const std::exception& e) {
      last_error = e.what();
    }
  }
  return Error{ErrorCode::kUnavailable, ToString(listen), 0, "",
               "cannot listen: " + last_error};
}

void HttpServer::Stop() {
  if (!implementation_->thread.joinable()) {
    return;
  }
  implementation_->loop->exit();
  implementation_->thread.join();
  implementation_->server.reset();
  implementation_->loop.reset();
}

}  // namespace cumin

#include "cumin_http/http_connection_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cumin_http/http_listener.h"
#include "support/loop_thread.h"
#include "support/raw_server.h"

namespace cumin {

namespace {

constexpr char kKeepAliveResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: a\r\n\r\nok";

constexpr char kEarlierRefusal[] =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nId: b\r\n"
    "Not-Executed: 1\r\n\r\n";

ExchangeOptions MakeOptions() {
  ExchangeOptions options;
  options.timeout = std::chrono::seconds(10);
  options.correlation_field = "Id";
  options.correlation_value = "a";
  return options;
}

HttpRequest MakePost() {
  HttpRequest request;
  request.method = "POST";
  request.path = "/orders";
  request.body = "coil";
  return request;
}

/** Answers each request. */
class EmptyHandler final : public HttpRequestHandler {
 public:
  Task<HttpResponse> Handle(HttpRequest /*request*/,
                            CallerWatch& /*caller*/) override {
    co_return HttpResponse{};
  }
};

class HttpConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpConnectionPoolTest);
  CPPUNIT_TEST(TestCompleteResponse);
  CPPUNIT_TEST(TestRefusedConnectionIsReportedAsNotSent);
  CPPUNIT_TEST(TestConnectTimeoutIgnoresEventLoopDelay);
  CPPUNIT_TEST(TestPostIsNotRetried);
  CPPUNIT_TEST(TestTruncatedBodyIsBroken);
  CPPUNIT_TEST(TestTruncatedChunkedBodyIsBroken);
  CPPUNIT_TEST(TestBodyDelimitedByConnectionClose);
  CPPUNIT_TEST(TestLateResponseOfAnotherRequestIsSkipped);
  CPPUNIT_TEST(TestConnectionWithExtraBytesIsNotReused);
  CPPUNIT_TEST(TestMalformedResponse);
  CPPUNIT_TEST(TestConflictingLengthHeadersAreRejected);
  CPPUNIT_TEST(TestTruncatedHeaderIsBroken);
  CPPUNIT_TEST(TestRepeatedRefusalOfEarlierRequestIsSkipped);
  CPPUNIT_TEST(TestRefusalOfAnotherRequestIsNotTheResponse);
  CPPUNIT_TEST(TestEndlessHeaderIsAborted);
  CPPUNIT_TEST(TestEndlessBodiesAreAbortedAtTotalLimit);
  CPPUNIT_TEST(TestEndlessLineIsAborted);
  CPPUNIT_TEST(TestEndlessInterimResponsesAreAborted);
  CPPUNIT_TEST(TestExchangeWithoutReuseKeepsPooledConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCompleteResponse() {
    const ExchangeResult result = Exchange(kKeepAliveResponse);
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
  }

  void TestRefusedConnectionIsReportedAsNotSent() {
    Endpoint closed_endpoint;
    {
      const test::RawServer server("");
      closed_endpoint = server.endpoint();
    }
    test::LoopThread loop;
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    const ExchangeOptions options = MakeOptions();
    const ExchangeResult result =
        loop.Run(pool.Exchange(closed_endpoint, request, options));
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kNotSent);
    loop.Stop();
  }

  // Guards against reporting a peer as unreachable when the connection was
  // established in time but the event loop was blocked past the connect
  // timeout.
  void TestConnectTimeoutIgnoresEventLoopDelay() {
    test::LoopThread loop;
    const test::RawServer server(kKeepAliveResponse);
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    ExchangeOptions options = MakeOptions();
    options.connect_timeout = std::chrono::milliseconds(20);
    std::promise<ExchangeResult> result;
    const auto exchange = [&]() -> Task<void> {
      ExchangeResult ended =
          co_await pool.Exchange(server.endpoint(), request, options);
      result.set_value(std::move(ended));
    };
    loop.Post([&] {
      asio::co_spawn(loop.executor(), exchange(), asio::detached);
      asio::post(loop.executor(), [&] {
        std::this_thread::sleep_for(2 * options.connect_timeout);
      });
    });
    CPPUNIT_ASSERT(result.get_future().get().end == ExchangeEnd::kAnswered);
    loop.Stop();
  }

  void TestPostIsNotRetried() {
    test::LoopThread loop;
    // The server reads the second request on the pooled connection and closes
    // without a response.
    const test::RawServer server(kKeepAliveResponse,
                                 test::AfterAnswer::kReadAndClose);
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    const ExchangeOptions options = MakeOptions();
    const ExchangeResult first =
        loop.Run(pool.Exchange(server.endpoint(), request, options));
    const ExchangeResult second =
        loop.Run(pool.Exchange(server.endpoint(), request, options));
    CPPUNIT_ASSERT(first.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT(second.end == ExchangeEnd::kBroken);
    CPPUNIT_ASSERT(second.was_reused);
    CPPUNIT_ASSERT_EQUAL(2, server.requests());
    loop.Stop();
  }

  void TestTruncatedBodyIsBroken() {
    CPPUNIT_ASSERT(
        Exchange("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: a\r\n\r\nok")
            .end == ExchangeEnd::kBroken);
  }

  void TestTruncatedChunkedBodyIsBroken() {
    CPPUNIT_ASSERT(
        Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n"
                 "\r\n2\r\nok\r\n")
            .end == ExchangeEnd::kBroken);
  }

  void TestBodyDelimitedByConnectionClose() {
    const ExchangeResult result =
        Exchange("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.response.body);
  }

  void TestLateResponseOfAnotherRequestIsSkipped() {
    const ExchangeResult result = Exchange(
        std::string(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: b\r\n\r\nlate") +
        kKeepAliveResponse);
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
  }

  void TestConnectionWithExtraBytesIsNotReused() {
    test::LoopThread loop;
    const test::RawServer server(
        std::string(kKeepAliveResponse) + kKeepAliveResponse,
        test::AfterAnswer::kReadAndClose);
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    const ExchangeOptions options = MakeOptions();
    for (int i = 0; i < 2; ++i) {
      const ExchangeResult result =
          loop.Run(pool.Exchange(server.endpoint(), request, options));
      CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
      CPPUNIT_ASSERT(!result.was_reused);
    }
    loop.Stop();
  }

  void TestMalformedResponse() {
    CPPUNIT_ASSERT(Exchange("\x01\x02garbage\r\n\r\n").end ==
                   ExchangeEnd::kGarbled);
  }

  void TestConflictingLengthHeadersAreRejected() {
    CPPUNIT_ASSERT(Exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                            "Transfer-Encoding: chunked\r\nId: a\r\n\r\nok")
                       .end == ExchangeEnd::kGarbled);
  }

  // Guards against issue 17: a connection closed in the middle of the response
  // header was treated as a complete response.
  void TestTruncatedHeaderIsBroken() {
    const std::string whole = kKeepAliveResponse;
    for (std::size_t n = 0; n < whole.size(); ++n) {
      const ExchangeResult result = Exchange(whole.substr(0, n));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(n) + " bytes",
                             result.end == ExchangeEnd::kBroken);
    }
  }

  // Guards against issue 17: a server repeated the refusal of an earlier
  // request on a pooled connection, and an executed request was reported as not
  // run.
  void TestRepeatedRefusalOfEarlierRequestIsSkipped() {
    const ExchangeResult result =
        Exchange(std::string(kEarlierRefusal) + kKeepAliveResponse);
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(200, result.response.status);
  }

  void TestRefusalOfAnotherRequestIsNotTheResponse() {
    CPPUNIT_ASSERT(Exchange(kEarlierRefusal).end == ExchangeEnd::kBroken);
    CPPUNIT_ASSERT(Exchange("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n"
                            "Not-Executed: 1\r\n\r\n")
                       .end == ExchangeEnd::kBroken);
  }

  void TestEndlessHeaderIsAborted() {
    const test::RawServer server("HTTP/1.1 200 OK\r\n",
                                 test::AfterAnswer::kWriteWithoutEnd,
                                 "Filler: " + std::string(100, 'x') + "\r\n");
    const std::vector<ExchangeResult> results = ExchangeWithEach({&server});
    CPPUNIT_ASSERT(results[0].end == ExchangeEnd::kGarbled);
    CPPUNIT_ASSERT(server.written() < kSocketBufferBytes);
  }

  // Guards against issue 17: endless response bodies were each read up to 64
  // MiB, which together exceeded the memory of the VM.
  void TestEndlessBodiesAreAbortedAtTotalLimit() {
    constexpr int kServers = 4;
    const std::string part = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
    std::vector<std::unique_ptr<test::RawServer>> servers;
    std::vector<const test::RawServer*> all;
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(std::make_unique<test::RawServer>(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n",
          test::AfterAnswer::kWriteWithoutEnd, part));
      all.push_back(servers.back().get());
    }
    for (const ExchangeResult& it : ExchangeWithEach(all)) {
      CPPUNIT_ASSERT(it.end == ExchangeEnd::kGarbled);
    }
    std::size_t written = 0;
    for (const test::RawServer* const it : all) {
      written += it->written();
    }
    CPPUNIT_ASSERT(written < HttpConnectionPool::kDefaultMaxBodyBytes +
                                 kServers * kSocketBufferBytes);
  }

  // The parser keeps an incomplete line until its end has arrived; each of
  // these was kept in memory until the timeout.
  void TestEndlessLineIsAborted() {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n";
    const std::string filler(0x8000, 'x');
    const std::pair<std::string, std::string> answers[] = {
        {"HTTP/1.1 200 ", filler},
        {"HTTP/1.1 200 OK\r\nFiller: ", filler},
        {chunked + "8;name=", filler},
        {chunked + "8;", "name=" + std::string(100, 'x') + ";"},
        {chunked + "0\r\nTrailer: ", filler},
        {chunked + "0\r\n", "Trailer: " + std::string(100, 'x') + "\r\n"}};
    for (const auto& [begin, repeated] : answers) {
      const test::RawServer server(begin, test::AfterAnswer::kWriteWithoutEnd,
                                   repeated);
      const std::vector<ExchangeResult> results = ExchangeWithEach({&server});
      CPPUNIT_ASSERT_MESSAGE(begin, results[0].end == ExchangeEnd::kGarbled);
      CPPUNIT_ASSERT_MESSAGE(begin, server.written() < kSocketBufferBytes);
    }
  }

  void TestEndlessInterimResponsesAreAborted() {
    const test::RawServer server("", test::AfterAnswer::kWriteWithoutEnd,
                                 "HTTP/1.1 102 Processing\r\n\r\n");
    const std::vector<ExchangeResult> results = ExchangeWithEach({&server});
    CPPUNIT_ASSERT(results[0].end == ExchangeEnd::kGarbled);
    CPPUNIT_ASSERT(server.written() < kSocketBufferBytes);
  }

  // An exchange that may not reuse a connection closed the pooled ones of its
  // server, so that each exchange after it opened a new one.
  void TestExchangeWithoutReuseKeepsPooledConnections() {
    test::LoopThread loop;
    EmptyHandler handler;
    HttpListener server(loop.executor(), handler);
    Endpoint endpoint;
    loop.Post([&] { endpoint = server.Start({"127.0.0.1", 0}).value(); });
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    HttpRequest last_of_connection = MakePost();
    last_of_connection.headers.Set("Connection", "close");
    ExchangeOptions reusing;
    reusing.timeout = std::chrono::seconds(10);
    ExchangeOptions opening = reusing;
    opening.max_idle = Duration::zero();
    CPPUNIT_ASSERT(
        !loop.Run(pool.Exchange(endpoint, request, reusing)).was_reused);
    CPPUNIT_ASSERT(
        !loop.Run(pool.Exchange(endpoint, last_of_connection, opening))
             .was_reused);
    CPPUNIT_ASSERT(
        loop.Run(pool.Exchange(endpoint, request, reusing)).was_reused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, pool.opened());
    loop.Stop();
  }

 private:
  /** Upper bound for the data in both socket buffers of one connection. */
  static constexpr std::size_t kSocketBufferBytes = std::size_t{16} << 20U;

  /** Exchanges one request with each server concurrently. */
  static std::vector<ExchangeResult> ExchangeWithEach(
      const std::vector<const test::RawServer*>& servers) {
    test::LoopThread loop;
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    const ExchangeOptions options = MakeOptions();
    std::vector<std::future<ExchangeResult>> pending;
    pending.reserve(servers.size());
    for (const test::RawServer* const it : servers) {
      pending.push_back(std::async(std::launch::async, [&, it] {
        return loop.Run(pool.Exchange(it->endpoint(), request, options));
      }));
    }
    std::vector<ExchangeResult> results;
    results.reserve(servers.size());
    for (std::future<ExchangeResult>& it : pending) {
      results.push_back(it.get());
    }
    loop.Stop();
    return results;
  }

  static ExchangeResult Exchange(const std::string& answer) {
    test::LoopThread loop;
    const test::RawServer server(answer);
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    const ExchangeOptions options = MakeOptions();
    ExchangeResult result =
        loop.Run(pool.Exchange(server.endpoint(), request, options));
    loop.Stop();
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionPoolTest);

}  // namespace

}  // namespace cumin

#include "cumin_http/http_connection_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/loop_thread.h"
#include "support/raw_server.h"

namespace cumin {

namespace {

constexpr char kKeptAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: a\r\n\r\nok";

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

class HttpConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpConnectionPoolTest);
  CPPUNIT_TEST(TestWholeAnswer);
  CPPUNIT_TEST(TestRefusedConnectionWasNotSent);
  CPPUNIT_TEST(TestPostIsNeverSentAgain);
  CPPUNIT_TEST(TestCutBodyIsNoAnswer);
  CPPUNIT_TEST(TestCutChunkedBodyIsNoAnswer);
  CPPUNIT_TEST(TestBodyMayEndWithTheConnection);
  CPPUNIT_TEST(TestLateAnswerOfAnotherRequestIsPassedOver);
  CPPUNIT_TEST(TestExtraBytesEndTheConnection);
  CPPUNIT_TEST(TestBytesThatAreNoAnswer);
  CPPUNIT_TEST(TestContradictingLengthsAreNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestWholeAnswer() {
    const ExchangeResult result = Exchange(kKeptAnswer);
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
  }

  void TestRefusedConnectionWasNotSent() {
    Endpoint nobody;
    {
      const test::RawServer server("");
      nobody = server.endpoint();
    }
    test::LoopThread loop;
    HttpConnectionPool pool(loop.executor());
    const HttpRequest request = MakePost();
    const ExchangeOptions options = MakeOptions();
    const ExchangeResult result =
        loop.Run(pool.Exchange(nobody, request, options));
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kNotSent);
    loop.Stop();
  }

  void TestPostIsNeverSentAgain() {
    test::LoopThread loop;
    // The second request on the kept connection is read and not answered.
    const test::RawServer server(kKeptAnswer, test::AfterAnswer::kReadAndClose);
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

  void TestCutBodyIsNoAnswer() {
    CPPUNIT_ASSERT(
        Exchange("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nId: a\r\n\r\nok")
            .end == ExchangeEnd::kBroken);
  }

  void TestCutChunkedBodyIsNoAnswer() {
    CPPUNIT_ASSERT(
        Exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n"
                 "\r\n2\r\nok\r\n")
            .end == ExchangeEnd::kBroken);
  }

  void TestBodyMayEndWithTheConnection() {
    const ExchangeResult result =
        Exchange("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.response.body);
  }

  void TestLateAnswerOfAnotherRequestIsPassedOver() {
    const ExchangeResult result = Exchange(
        std::string(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: b\r\n\r\nlate") +
        kKeptAnswer);
    CPPUNIT_ASSERT(result.end == ExchangeEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
  }

  void TestExtraBytesEndTheConnection() {
    test::LoopThread loop;
    const test::RawServer server(std::string(kKeptAnswer) + kKeptAnswer,
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

  void TestBytesThatAreNoAnswer() {
    CPPUNIT_ASSERT(Exchange("\x01\x02garbage\r\n\r\n").end ==
                   ExchangeEnd::kGarbled);
  }

  void TestContradictingLengthsAreNoAnswer() {
    CPPUNIT_ASSERT(Exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                            "Transfer-Encoding: chunked\r\nId: a\r\n\r\nok")
                       .end == ExchangeEnd::kGarbled);
  }

 private:
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

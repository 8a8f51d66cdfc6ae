#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "cumin_rpc/cumin_rpc.h"
#include "support/raw_server.h"

namespace cumin {

namespace {

constexpr char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n"
    "ok";
constexpr Duration kTimeout = std::chrono::seconds(5);

class EchoHandler final : public HttpHandler {
 public:
  HttpResponse Handle(const HttpRequest& request) override {
    ++calls;
    HttpResponse response;
    response.headers.Set("X-Method", request.method);
    response.headers.Set("X-Echo", request.headers.Get("x-echo"));
    response.body = request.path + "?" + request.query + "|" + request.body;
    return response;
  }

  std::atomic<int> calls{0};
};

HttpRequest MakePost(const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/orders";
  request.query = "a=1";
  request.headers.Set("X-Echo", "ping");
  request.body = body;
  return request;
}

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(TestExchangeCarriesAllParts);
  CPPUNIT_TEST(TestRefusedConnectionReportsUnavailable);
  CPPUNIT_TEST(TestPostOnNewConnectionIsSentOnce);
  CPPUNIT_TEST(TestPostOnReusedConnectionIsRetriedByCxxtools);
  CPPUNIT_TEST(TestFailureOnReusedConnectionIsOutcomeUnknown);
  CPPUNIT_TEST(TestIncompleteResponseIsRejected);
  CPPUNIT_TEST(TestResponseTruncatedAtAnyByteIsRejected);
  CPPUNIT_TEST(TestOversizeRequestBodyIsRejected);
  CPPUNIT_TEST(TestPoolReusesConnections);
  CPPUNIT_TEST(TestJsonRpcRoundTrip);
  CPPUNIT_TEST(TestJsonRpcRespondsToMalformedMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestExchangeCarriesAllParts() {
    EchoHandler handler;
    HttpServer server(handler, HttpServerOptions{});
    const Endpoint bound = server.Start(Endpoint{"127.0.0.1", 0}).value();
    HttpClient client(bound);
    const HttpResponse response =
        client.Exchange(MakePost("xyz"), kTimeout, ConnectionUse::kFreshOnly)
            .value();
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("/orders?a=1|xyz"), response.body);
    CPPUNIT_ASSERT_EQUAL(std::string("ping"), response.headers.Get("x-echo"));
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), response.headers.Get("X-Method"));
  }

  void TestRefusedConnectionReportsUnavailable() {
    EchoHandler handler;
    HttpServer server(handler, HttpServerOptions{});
    const Endpoint bound = server.Start(Endpoint{"127.0.0.1", 0}).value();
    server.Stop();
    HttpClient client(bound);
    const auto response =
        client.Exchange(MakePost(""), kTimeout, ConnectionUse::kFreshOnly);
    CPPUNIT_ASSERT(!response);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         std::string(ToString(response.error().code)));
  }

  void TestPostOnNewConnectionIsSentOnce() {
    test::RawServer server("");
    HttpClient client(server.endpoint());
    const auto response =
        client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kFreshOnly);
    CPPUNIT_ASSERT(!response);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                         std::string(ToString(response.error().code)));
    CPPUNIT_ASSERT_EQUAL(1, server.requests());
  }

  // Documents why kFreshOnly exists: the server reads the second request on a
  // keep-alive connection and closes it without a response, and cxxtools sends
  // the request again on a new connection.
  void TestPostOnReusedConnectionIsRetriedByCxxtools() {
    test::RawServer server(kCompleteResponse, test::AfterAnswer::kReadAndClose);
    HttpClient client(server.endpoint());
    CPPUNIT_ASSERT(
        client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kMayReuse)
            .has_value());
    client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kMayReuse)
        .has_value();
    CPPUNIT_ASSERT_EQUAL(3, server.requests());
  }

  void TestFailureOnReusedConnectionIsOutcomeUnknown() {
    auto server = std::make_unique<test::RawServer>(kCompleteResponse);
    HttpClient client(server->endpoint());
    CPPUNIT_ASSERT(
        client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kMayReuse)
            .has_value());
    server.reset();
    const auto response =
        client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kMayReuse);
    CPPUNIT_ASSERT(!response);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                         std::string(ToString(response.error().code)));
  }

  void TestIncompleteResponseIsRejected() {
    for (const char* it :
         {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
          "HTTP/1.1 200 OK\r\n\r\nno length",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "a\r\nhalf",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\nhalf\r\n"}) {
      test::RawServer server(it);
      HttpClient client(server.endpoint());
      const auto response =
          client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kFreshOnly);
      CPPUNIT_ASSERT_MESSAGE(it, !response);
      CPPUNIT_ASSERT(response.error().code == ErrorCode::kOutcomeUnknown);
    }
  }

  // Guards against a response truncated in its header being delivered as a
  // complete 200 with an empty body.
  void TestResponseTruncatedAtAnyByteIsRejected() {
    const std::string full_response =
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: a\r\n\r\nhello, world";
    for (std::size_t n = 1; n < full_response.size(); ++n) {
      test::RawServer server(full_response.substr(0, n));
      HttpClient client(server.endpoint());
      const auto response =
          client.Exchange(MakePost("b"), kTimeout, ConnectionUse::kFreshOnly);
      CPPUNIT_ASSERT_MESSAGE(full_response.substr(0, n), !response);
      CPPUNIT_ASSERT(response.error().code == ErrorCode::kOutcomeUnknown);
    }
  }

  void TestOversizeRequestBodyIsRejected() {
    EchoHandler handler;
    HttpServerOptions options;
    options.max_body_bytes = 100;
    HttpServer server(handler, options);
    const Endpoint bound = server.Start(Endpoint{"127.0.0.1", 0}).value();
    HttpClient client(bound);
    const std::string body(101, 'x');
    const auto response =
        client.Exchange(MakePost(body), kTimeout, ConnectionUse::kFreshOnly);
    CPPUNIT_ASSERT_EQUAL(413, response.value().status);
    CPPUNIT_ASSERT_EQUAL(0, handler.calls.load());
  }

  void TestPoolReusesConnections() {
    EchoHandler handler;
    HttpServer server(handler, HttpServerOptions{});
    const Endpoint bound = server.Start(Endpoint{"127.0.0.1", 0}).value();
    HttpClientPool pool(2);
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(pool.Exchange(bound, MakePost("b"), kTimeout,
                                   ConnectionUse::kMayReuse)
                         .has_value());
    }
    CPPUNIT_ASSERT_EQUAL(5, handler.calls.load());
  }

  void TestJsonRpcRoundTrip() {
    JsonRpcDispatcher dispatcher;
    dispatcher.Register("add", [](const Json::Value& in) {
      Json::Value out;
      out["sum"] = in["a"].asInt() + in["b"].asInt();
      return Result<Json::Value>(out);
    });
    dispatcher.Register("fail", [](const Json::Value&) -> Result<Json::Value> {
      return Error{ErrorCode::kInvalid, "", 0, "a", "is wrong"};
    });
    LoopbackTransport transport(dispatcher);
    Json::Value in;
    in["a"] = 2;
    in["b"] = 3;
    CPPUNIT_ASSERT_EQUAL(
        5, CallJsonRpc(transport, "add", in).value()["sum"].asInt());
    const auto failed = CallJsonRpc(transport, "fail", in);
    CPPUNIT_ASSERT(!failed);
    CPPUNIT_ASSERT(failed.error().reason.find("a: is wrong") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!CallJsonRpc(transport, "unknown", in));
  }

  void TestJsonRpcRespondsToMalformedMessages() {
    JsonRpcDispatcher dispatcher;
    const std::string deep(100000, '[');
    for (const std::string& it :
         {std::string(""), std::string("{"), std::string("3"), deep,
          std::string("\xff\xfe"), std::string("[]"), std::string("[1]"),
          std::string(R"({"jsonrpc":"2.0","method":7,"id":{}})")}) {
      CPPUNIT_ASSERT(!dispatcher.Dispatch(it).empty());
    }
  }

 private:
  class LoopbackTransport final : public JsonRpcTransport {
   public:
    explicit LoopbackTransport(JsonRpcDispatcher& dispatcher)
        : dispatcher_(dispatcher) {}
    Result<std::string> Send(const std::string& message) override {
      return dispatcher_.Dispatch(message);
    }

   private:
    JsonRpcDispatcher& dispatcher_;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace

}  // namespace cumin

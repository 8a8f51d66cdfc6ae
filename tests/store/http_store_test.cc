#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <thread>

#include "cumin_core/json_text.h"
#include "cumin_rpc/cumin_rpc.h"
#include "cumin_store/cumin_store.h"
#include "standins/store_standin/store_standin.h"

namespace cumin {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr Duration kWatchWait = std::chrono::seconds(20);
constexpr Duration kLeaseLength = std::chrono::seconds(15);
constexpr int kReadsPerSecond = 100000;
constexpr int kWritesPerSecond = 100000;

class FakeClock final : public Clock {
 public:
  MonoTime Now() const override { return MonoTime(Duration(micros_.load())); }
  WallTime WallNow() const override { return FromUnixMillis(0); }
  void Advance(Duration by) { micros_ += by.count(); }

 private:
  std::atomic<std::int64_t> micros_{1000000000};
};

/** Returns the same response to every request. */
class FixedHandler final : public HttpHandler {
 public:
  explicit FixedHandler(HttpResponse response)
      : response_(std::move(response)) {}
  HttpResponse Handle(const HttpRequest& /*request*/) override {
    return response_;
  }

 private:
  HttpResponse response_;
};

class HttpStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpStoreTest);
  CPPUNIT_TEST(TestSwapReadAndRemove);
  CPPUNIT_TEST(TestValuesOfEveryByte);
  CPPUNIT_TEST(TestOversizeValueIsNotSent);
  CPPUNIT_TEST(TestLeaseRemovesItsKeys);
  CPPUNIT_TEST(TestLeasedKeyIsNotTakenByAnotherLease);
  CPPUNIT_TEST(TestWatchReturnsOnChange);
  CPPUNIT_TEST(TestOutageIsUnavailable);
  CPPUNIT_TEST(TestLostAnswerIsOutcomeUnknown);
  CPPUNIT_TEST(TestRateLimitIsUnavailable);
  CPPUNIT_TEST(TestMalformedAnswersAreProtocolErrors);
  CPPUNIT_TEST(TestMeteredStoreCountsCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    clock_ = std::make_unique<FakeClock>();
    Start(kReadsPerSecond, kWritesPerSecond);
  }

  void tearDown() override {
    standin_->Shutdown();
    server_.reset();
  }

  void TestSwapReadAndRemove() {
    AssertCode(ErrorCode::kNotFound, store_->Get("config/head"));
    AssertOk(store_->CompareAndSwap("config/head", "one", kAbsentIndex, ""));
    const StoreEntry entry = store_->Get("config/head").value();
    CPPUNIT_ASSERT_EQUAL(std::string("one"), entry.value);
    AssertCode(ErrorCode::kConflict,
               store_->CompareAndSwap("config/head", "x", kAbsentIndex, ""));
    AssertOk(
        store_->CompareAndSwap("config/head", "two", entry.modify_index, ""));
    AssertCode(
        ErrorCode::kConflict,
        store_->CompareAndSwap("config/head", "x", entry.modify_index, ""));
    AssertOk(store_->CompareAndSwap("config/parts/a b%2F\xc3\xa9", "part",
                                    kAbsentIndex, ""));
    const StoreListing listing = store_->List("config/").value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("config/parts/a b%2F\xc3\xa9"),
                         listing.entries[1].key);
    CPPUNIT_ASSERT_EQUAL(listing.entries[1].modify_index, listing.index);
    AssertOk(store_->Remove("config/head"));
    AssertOk(store_->Remove("config/head"));
    AssertCode(ErrorCode::kNotFound, store_->Get("config/head"));
    CPPUNIT_ASSERT(store_->List("absent/").value().entries.empty());
  }

  void TestValuesOfEveryByte() {
    std::string value;
    for (int i = 0; i < 256; ++i) {
      value += static_cast<char>(i);
      AssertOk(store_->CompareAndSwap("bytes/" + std::to_string(i), value,
                                      kAbsentIndex, ""));
    }
    AssertOk(store_->CompareAndSwap("bytes/empty", "", kAbsentIndex, ""));
    CPPUNIT_ASSERT_EQUAL(value, store_->Get("bytes/255").value().value);
    CPPUNIT_ASSERT_EQUAL(value.substr(0, 2),
                         store_->Get("bytes/1").value().value);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         store_->Get("bytes/empty").value().value);
    const std::string longest(kMaxStoreValueBytes, 'v');
    AssertOk(store_->CompareAndSwap("longest", longest, kAbsentIndex, ""));
    CPPUNIT_ASSERT(store_->Get("longest").value().value == longest);
  }

  void TestOversizeValueIsNotSent() {
    const std::string value(kMaxStoreValueBytes + 1, 'v');
    AssertCode(ErrorCode::kInvalid,
               store_->CompareAndSwap("k", value, kAbsentIndex, ""));
    CPPUNIT_ASSERT_EQUAL(0, Stats()["total"].asInt());
  }

  void TestLeaseRemovesItsKeys() {
    const std::string lease = store_->GrantLease(kLeaseLength).value();
    AssertOk(store_->CompareAndSwap("vm/a", "here", kAbsentIndex, lease));
    CPPUNIT_ASSERT_EQUAL(lease, store_->Get("vm/a").value().lease);
    clock_->Advance(kLeaseLength - Duration(1));
    AssertOk(store_->RenewLease(lease));
    clock_->Advance(kLeaseLength - Duration(1));
    AssertOk(store_->Get("vm/a"));
    clock_->Advance(Duration(1));
    AssertCode(ErrorCode::kNotFound, store_->Get("vm/a"));
    AssertCode(ErrorCode::kNotFound, store_->RenewLease(lease));
    AssertCode(ErrorCode::kConflict,
               store_->CompareAndSwap("vm/a", "again", kAbsentIndex, lease));
  }

  void TestLeasedKeyIsNotTakenByAnotherLease() {
    const std::string first = store_->GrantLease(kLeaseLength).value();
    const std::string second = store_->GrantLease(kLeaseLength).value();
    AssertOk(store_->CompareAndSwap("shard/1", "a", kAbsentIndex, first));
    AssertCode(ErrorCode::kConflict,
               store_->CompareAndSwap("shard/1", "b", kAbsentIndex, second));
    const std::uint64_t index = store_->Get("shard/1").value().modify_index;
    AssertCode(ErrorCode::kConflict,
               store_->CompareAndSwap("shard/1", "b", index, second));
    AssertOk(store_->CompareAndSwap("shard/1", "c", index, first));
    AssertOk(store_->RevokeLease(first));
    AssertOk(store_->CompareAndSwap("shard/1", "b", kAbsentIndex, second));
  }

  void TestWatchReturnsOnChange() {
    AssertOk(store_->CompareAndSwap("config/head", "1", kAbsentIndex, ""));
    const StoreListing before = store_->List("config/").value();
    std::thread writer([&] {
      while (Stats()["waiting_watches"].asInt() == 0) {
        std::this_thread::yield();
      }
      store_->CompareAndSwap("other", "x", kAbsentIndex, "").has_value();
      store_->CompareAndSwap("config/head", "2", before.index, "").has_value();
    });
    const auto after = store_->Watch("config/", before.index, kWatchWait);
    writer.join();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), after.value().entries[0].value);
    CPPUNIT_ASSERT(after.value().index > before.index);
    CPPUNIT_ASSERT_EQUAL(1, Stats()["calls"]["watch"].asInt());
  }

  void TestOutageIsUnavailable() {
    SetFault(R"({"outage":true})");
    AssertCode(ErrorCode::kUnavailable, store_->Get("k"));
    AssertCode(ErrorCode::kUnavailable, store_->Watch("k", 1, kWatchWait));
    AssertCode(ErrorCode::kUnavailable,
               store_->CompareAndSwap("k", "v", kAbsentIndex, ""));
    SetFault(R"({"outage":false})");
    AssertCode(ErrorCode::kNotFound, store_->Get("k"));
    server_->Stop();
    AssertCode(ErrorCode::kUnavailable, store_->GrantLease(kLeaseLength));
  }

  void TestLostAnswerIsOutcomeUnknown() {
    SetFault(R"({"lose_answers":1})");
    AssertCode(ErrorCode::kOutcomeUnknown,
               store_->CompareAndSwap("k", "v", kAbsentIndex, ""));
    CPPUNIT_ASSERT_EQUAL(std::string("v"), store_->Get("k").value().value);
    SetFault(R"({"freeze":true})");
    HttpStore short_timeout_store(endpoint_, std::chrono::milliseconds(50));
    AssertCode(ErrorCode::kOutcomeUnknown, short_timeout_store.Remove("k"));
    SetFault(R"({"freeze":false})");
  }

  void TestRateLimitIsUnavailable() {
    tearDown();
    Start(2, 1);
    AssertOk(store_->CompareAndSwap("k", "v", kAbsentIndex, ""));
    AssertCode(ErrorCode::kUnavailable, store_->Remove("k"));
    AssertOk(store_->Get("k"));
    AssertOk(store_->Get("k"));
    AssertCode(ErrorCode::kUnavailable, store_->Get("k"));
    clock_->Advance(std::chrono::seconds(1));
    AssertOk(store_->Get("k"));
    CPPUNIT_ASSERT_EQUAL(2, Stats()["refused"].asInt());
  }

  void TestMalformedAnswersAreProtocolErrors() {
    for (const char* it : {"", "<html>", "[{}]", "{}", "7", "[]",
                           R"([{"Key":"k","ModifyIndex":-1,"Value":""}])",
                           R"([{"Key":"other","ModifyIndex":1,"Value":""}])",
                           R"([{"Key":"k","ModifyIndex":1,"Value":"?"}])",
                           R"([{"Key":"k","ModifyIndex":1,"Value":7}])"}) {
      HttpResponse response;
      response.body = it;
      FixedHandler handler(response);
      HttpServer server(handler, HttpServerOptions{});
      HttpStore store(server.Start(Endpoint{"127.0.0.1", 0}).value(), kTimeout);
      AssertCode(ErrorCode::kProtocol, store.Get("k"));
      AssertCode(ErrorCode::kProtocol, store.List("k"));
      AssertCode(ErrorCode::kProtocol, store.CompareAndSwap("k", "v", 0, ""));
      AssertCode(ErrorCode::kProtocol, store.CompareAndSwap("k", "v", 0, "l"));
      AssertCode(ErrorCode::kProtocol, store.GrantLease(kLeaseLength));
    }
  }

  void TestMeteredStoreCountsCalls() {
    MetricRegistry metrics;
    MeteredStore metered(*store_, metrics);
    metered.Get("k").has_value();
    metered.CompareAndSwap("k", "v", 7, "").has_value();
    metered.GrantLease(kLeaseLength).has_value();
    const auto count = [&](const char* name) {
      return metrics.GetCounter(name).value();
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count("store_reads_total"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count("store_swaps_total"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count("store_conflicts_total"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count("store_lease_grants_total"));
  }

 private:
  void Start(int reads_per_s, int writes_per_s) {
    server_.reset();
    standin_ = std::make_unique<test::StoreStandin>(*clock_, reads_per_s,
                                                    writes_per_s);
    server_ = std::make_unique<HttpServer>(*standin_, HttpServerOptions{});
    endpoint_ = server_->Start(Endpoint{"127.0.0.1", 0}).value();
    store_ = std::make_unique<HttpStore>(endpoint_, kTimeout);
  }

  HttpResponse Control(const std::string& method, const std::string& path,
                       const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    return standin_->Handle(request);
  }

  void SetFault(const std::string& fault) {
    CPPUNIT_ASSERT_EQUAL(200, Control("PUT", "/standin/fault", fault).status);
  }

  Json::Value Stats() {
    return ParseJson(Control("GET", "/standin/stats", "").body, "stats")
        .value();
  }

  template <typename T>
  static void AssertOk(const Result<T>& result) {
    CPPUNIT_ASSERT_MESSAGE(result ? "" : Describe(result.error()),
                           result.has_value());
  }

  template <typename T>
  static void AssertCode(ErrorCode code, const Result<T>& result) {
    CPPUNIT_ASSERT(!result);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(result.error()),
                                 std::string(ToString(code)),
                                 std::string(ToString(result.error().code)));
  }

  std::unique_ptr<FakeClock> clock_;
  std::unique_ptr<test::StoreStandin> standin_;
  std::unique_ptr<HttpServer> server_;
  Endpoint endpoint_;
  std::unique_ptr<HttpStore> store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStoreTest);

}  // namespace

}  // namespace cumin

#include "platform_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "standins/platform_store/platform_store_standin.h"
#include "support/loop_thread.h"

namespace cumin::platform {

namespace {

class PlatformStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformStoreTest);
  CPPUNIT_TEST(TestReadAndWrite);
  CPPUNIT_TEST(TestListReadsEveryPage);
  CPPUNIT_TEST(TestWatchReturnsChangesAndRemovals);
  CPPUNIT_TEST(TestWatchWithoutHistory);
  CPPUNIT_TEST(TestLeases);
  CPPUNIT_TEST(TestUnavailableStoreIsReported);
  CPPUNIT_TEST(TestWriteWithoutAnswerHasUnknownOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<test::LoopThread>();
    standin_ = std::make_unique<test::PlatformStoreStandin>();
    listener_ = std::make_unique<HttpListener>(loop_->executor(), *standin_);
    pool_ = std::make_unique<HttpConnectionPool>(loop_->executor());
    store_ = std::make_unique<PlatformStore>(
        *pool_, listener_->Start(Endpoint{"127.0.0.1", 0}).value());
  }

  void tearDown() override {
    loop_->Stop();
    store_.reset();
    pool_.reset();
    listener_.reset();
    loop_.reset();
  }

  void TestReadAndWrite() {
    CPPUNIT_ASSERT(ErrorCode::kNotFound == Get("a").error().code);
    const std::string bytes("x\0y\xff", 4);
    CPPUNIT_ASSERT(Put("a", bytes, kNoLease));
    CPPUNIT_ASSERT_EQUAL(bytes, Get("a").value().value);
    CPPUNIT_ASSERT(ErrorCode::kNotFound == Put("b", "", 99).error().code);
  }

  void TestListReadsEveryPage() {
    standin_->page_size = 3;
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(
          Put("p/" + std::to_string(i), std::to_string(i), kNoLease));
    }
    CPPUNIT_ASSERT(Put("q", "", kNoLease));
    const auto listed =
        loop_->Run(store_->List("p/", ReadFreshness::kStale)).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, listed.items.size());
    CPPUNIT_ASSERT_EQUAL(std::string("7"), listed.items.back().value);
  }

  void TestWatchReturnsChangesAndRemovals() {
    const LeaseId lease =
        loop_->Run(store_->GrantLease(std::chrono::seconds(3))).value();
    const std::uint64_t before = Put("p/0", "0", lease).value();
    CPPUNIT_ASSERT(Put("p/1", "1", kNoLease));
    loop_->Post([this] { standin_->ExpireAllLeases(); });
    const auto seen = Watch(before).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.items.size());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), seen.items[0].value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, seen.items[1].revision);
    CPPUNIT_ASSERT(Watch(seen.as_of).value().items.empty());
  }

  void TestWatchWithoutHistory() {
    CPPUNIT_ASSERT(Put("p/0", "0", kNoLease));
    loop_->Post([this] { standin_->CompactHistory(); });
    CPPUNIT_ASSERT(ErrorCode::kConflict == Watch(1).error().code);
  }

  void TestLeases() {
    const LeaseId lease =
        loop_->Run(store_->GrantLease(std::chrono::seconds(3))).value();
    CPPUNIT_ASSERT(Put("a", "", lease));
    CPPUNIT_ASSERT(loop_->Run(store_->RenewLease(lease)));
    CPPUNIT_ASSERT(loop_->Run(store_->EndLease(lease)));
    CPPUNIT_ASSERT(ErrorCode::kNotFound == Get("a").error().code);
    CPPUNIT_ASSERT(ErrorCode::kNotFound ==
                   loop_->Run(store_->RenewLease(lease)).error().code);
  }

  void TestUnavailableStoreIsReported() {
    loop_->Post([this] { standin_->is_down = true; });
    CPPUNIT_ASSERT(ErrorCode::kUnavailable ==
                   Put("a", "", kNoLease).error().code);
    CPPUNIT_ASSERT(ErrorCode::kUnavailable == Get("a").error().code);
  }

  void TestWriteWithoutAnswerHasUnknownOutcome() {
    loop_->Post([this] { standin_->answers_to_lose = 1; });
    CPPUNIT_ASSERT(ErrorCode::kOutcomeUnknown ==
                   Put("a", "done", kNoLease).error().code);
    loop_->Post([this] { standin_->answers_to_lose = 0; });
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Get("a").value().value);
  }

 private:
  Result<StoreItem> Get(const std::string& key) {
    return loop_->Run(store_->Get(key, ReadFreshness::kCurrent));
  }
  Result<std::uint64_t> Put(const std::string& key, const std::string& value,
                            LeaseId lease) {
    return loop_->Run(store_->Put(key, value, lease));
  }
  Result<StoreItems> Watch(std::uint64_t after) {
    return loop_->Run(
        store_->Watch("p/", after, std::chrono::milliseconds(50)));
  }

  std::unique_ptr<test::LoopThread> loop_;
  std::unique_ptr<test::PlatformStoreStandin> standin_;
  std::unique_ptr<HttpListener> listener_;
  std::unique_ptr<HttpConnectionPool> pool_;
  std::unique_ptr<PlatformStore> store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

}  // namespace

}  // namespace cumin::platform

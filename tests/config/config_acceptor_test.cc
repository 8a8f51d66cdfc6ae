#include "cumin_config/config_acceptor.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/config_samples.h"
#include "cumin_config/config_keys.h"
#include "cumin_config/config_store_reader.h"
#include "support/fake_store.h"

namespace cumin {

namespace {

using test::FakeStore;
using test::StoreFault;

/** Calls `on_wait` instead of blocking. */
class FakeWaiter final : public ConfigAcceptor::Waiter {
 public:
  void Wait(Duration length) override {
    CPPUNIT_ASSERT(length > Duration(0));
    ++waits;
    if (on_wait) {
      on_wait();
    }
  }

  int waits = 0;
  std::function<void()> on_wait;
};

/** Applies `head_fault` to the next write of the head; all other calls succeed
    unless the store is set out. */
class HeadFaultStore final : public FakeStore {
 public:
  Result<void> CompareAndSwap(const std::string& key, const std::string& value,
                              std::uint64_t expected,
                              const std::string& lease) override {
    if (key == kHeadKey) {
      if (before_head_swap) {
        const auto hook = std::move(before_head_swap);
        before_head_swap = nullptr;
        hook();
      }
      SetNextFault(head_fault);
      head_fault = StoreFault::kNone;
    }
    Result<void> answer =
        FakeStore::CompareAndSwap(key, value, expected, lease);
    if (key == kHeadKey && after_head_swap) {
      const auto hook = std::move(after_head_swap);
      after_head_swap = nullptr;
      hook();
    }
    return answer;
  }

  StoreFault head_fault = StoreFault::kNone;
  std::function<void()> before_head_swap;
  std::function<void()> after_head_swap;
};

class ConfigAcceptorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigAcceptorTest);
  CPPUNIT_TEST(TestFirstVersion);
  CPPUNIT_TEST(TestStaleBaseIsRefusedWithDetails);
  CPPUNIT_TEST(TestLostAnswerIsResolved);
  CPPUNIT_TEST(TestLostAnswerIsFoundUnderALaterHead);
  CPPUNIT_TEST(TestLosingConcurrentChangeIsRefused);
  CPPUNIT_TEST(TestOutageAfterTheSwapIsUnknown);
  CPPUNIT_TEST(TestRepeatedChangeIdIsAcceptedOnce);
  CPPUNIT_TEST(TestOutageChangesNothing);
  CPPUNIT_TEST(TestInvalidChangesNothing);
  CPPUNIT_TEST(TestShardCountCannotChange);
  CPPUNIT_TEST(TestMalformedHeadChangesNothing);
  CPPUNIT_TEST(TestRollback);
  CPPUNIT_TEST(TestRemovesACustomer);
  CPPUNIT_TEST(TestReadsHistory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFirstVersion() {
    const AcceptanceOutcome outcome = AcceptFirst();
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                         std::string(ToString(outcome.result)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, outcome.change.version);
    const ConfigBundle bundle = ReadNewest();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bundle.parts.size());
    CPPUNIT_ASSERT(MakeSnapshot(bundle));
  }

  void TestStaleBaseIsRefusedWithDetails() {
    AcceptFirst();
    Accept(SetRate("boris", 1, 200));
    const AcceptanceOutcome outcome = Accept(SetRate("cleo", 1, 300));
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.since.size());
    CPPUNIT_ASSERT_EQUAL(std::string("boris"), outcome.since[0].author);
    const std::string text = Describe(outcome);
    for (const char* it :
         {"boris", "set the rate to 200", "customer/fabricators",
          "2026-12-04 02:10:07 UTC", "--based-on 2"}) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(it) != std::string::npos);
    }
    const AcceptanceOutcome future = Accept(SetRate("cleo", 9, 300));
    CPPUNIT_ASSERT(future.result == AcceptanceResult::kRefused);
    CPPUNIT_ASSERT(future.since.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, future.head_version);
  }

  void TestLostAnswerIsResolved() {
    AcceptFirst();
    for (const StoreFault it :
         {StoreFault::kResponseLost, StoreFault::kRequestLost,
          StoreFault::kDelayed, StoreFault::kStoreUnavailable}) {
      const std::uint64_t version = ReadNewest().head.change.version;
      store_.head_fault = it;
      const AcceptanceOutcome outcome =
          Accept(SetRate("anna", version, 200 + static_cast<int>(version)));
      store_.ApplyDelayed();
      CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kAccepted);
      CPPUNIT_ASSERT_EQUAL(version + 1, ReadNewest().head.change.version);
      CPPUNIT_ASSERT(ReadNewest().head.change == outcome.change);
    }
  }

  void TestLostAnswerIsFoundUnderALaterHead() {
    AcceptFirst();
    store_.head_fault = StoreFault::kResponseLost;
    store_.after_head_swap = [this]() { Accept(SetRate("boris", 2, 999)); };
    const AcceptanceOutcome outcome = Accept(SetRate("anna", 1, 200));
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome.change.version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, outcome.head_version);
  }

  void TestLosingConcurrentChangeIsRefused() {
    AcceptFirst();
    store_.before_head_swap = [this]() {
      Accept(SetRate("boris", 1, 999));
      Accept(SetRate("boris", 2, 998));
    };
    store_.head_fault = StoreFault::kResponseLost;
    const AcceptanceOutcome outcome = Accept(SetRate("anna", 1, 200));
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcome.since.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome.since[0].version);
  }

  void TestOutageAfterTheSwapIsUnknown() {
    AcceptFirst();
    store_.head_fault = StoreFault::kResponseLost;
    store_.after_head_swap = [this]() { store_.SetUnavailable(true); };
    const ChangeRequest request = SetRate("anna", 1, 200);
    const AcceptanceOutcome outcome = Accept(request);
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kUnknown);
    const std::string text = Describe(outcome);
    CPPUNIT_ASSERT(text.find("--change-id " + request.change_id.str()) !=
                   std::string::npos);
  }

  void TestRepeatedChangeIdIsAcceptedOnce() {
    AcceptFirst();
    const ChangeRequest request = SetRate("anna", 1, 200);
    Accept(request);
    CPPUNIT_ASSERT(Accept(request).result == AcceptanceResult::kAccepted);
    Accept(SetRate("boris", 2, 300));
    const AcceptanceOutcome outcome = Accept(request);
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome.change.version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, ReadNewest().head.change.version);
  }

  void TestOutageChangesNothing() {
    AcceptFirst();
    const auto before = store_.entries();
    store_.SetUnavailable(true);
    const AcceptanceOutcome outcome = Accept(SetRate("anna", 1, 200));
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kUnavailable);
    CPPUNIT_ASSERT(before == store_.entries());
    CPPUNIT_ASSERT(waiter_.waits > 0);
  }

  void TestInvalidChangesNothing() {
    AcceptFirst();
    const auto before = store_.entries();
    ChangeRequest bad_range = SetRate("anna", 1, -5);
    ChangeRequest no_author = SetRate("", 1, 200);
    ChangeRequest not_utf8 = SetRate("anna", 1, 200);
    not_utf8.edits[0].text = *not_utf8.edits[0].text + "# \xff\xfe\n";
    ChangeRequest same = SetRate("anna", 1, 100);
    ChangeRequest unknown_service = SetRate("anna", 1, 200);
    unknown_service.edits[0].text =
        "customer: fabricators\ngrants: [{service: x, operation: y}]";
    ChangeRequest no_mesh = SetRate("anna", 1, 200);
    no_mesh.edits.push_back({MeshPartName(), std::nullopt});
    for (const ChangeRequest& it :
         {bad_range, no_author, not_utf8, same, unknown_service, no_mesh}) {
      const AcceptanceOutcome outcome = Accept(it);
      CPPUNIT_ASSERT_MESSAGE(Describe(outcome),
                             outcome.result == AcceptanceResult::kInvalid);
      CPPUNIT_ASSERT(before == store_.entries());
    }
  }

  void TestShardCountCannotChange() {
    AcceptFirst();
    const auto before = store_.entries();
    std::string mesh = test::SampleMesh();
    const std::string operations = "    operations:";
    mesh.insert(mesh.find(operations), "    ledger_shards: 9\n");
    ChangeRequest request = SetRate("anna", 1, 100);
    request.edits = {PartEdit{MeshPartName(), mesh}};
    const AcceptanceOutcome outcome = Accept(request);
    CPPUNIT_ASSERT_MESSAGE(Describe(outcome),
                           outcome.result == AcceptanceResult::kInvalid);
    CPPUNIT_ASSERT(outcome.error.field.find("ledger_shards") !=
                   std::string::npos);
    CPPUNIT_ASSERT(before == store_.entries());
  }

  void TestMalformedHeadChangesNothing() {
    store_.Put(kHeadKey, "{\"owner\":\"someone else\"}");
    const auto before = store_.entries();
    const AcceptanceOutcome outcome = Accept(SetRate("anna", 1, 200));
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string(kHeadKey), outcome.error.source);
    CPPUNIT_ASSERT(before == store_.entries());
  }

  void TestRollback() {
    AcceptFirst();
    Accept(SetRate("anna", 1, 200));
    ChangeRequest request = SetRate("anna", 2, 0);
    request.edits.clear();
    request.rollback_to = 1;
    const AcceptanceOutcome outcome = Accept(request);
    CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, outcome.change.version);
    const ConfigBundle bundle = ReadNewest();
    CPPUNIT_ASSERT_EQUAL(test::SampleContract("fabricators", 100),
                         bundle.parts[0].text);
    request.change_id = ChangeId("c-other");
    request.based_on = 3;
    request.rollback_to = 7;
    CPPUNIT_ASSERT(Accept(request).result == AcceptanceResult::kInvalid);
  }

  void TestRemovesACustomer() {
    AcceptFirst();
    ChangeRequest request = SetRate("anna", 1, 0);
    request.edits[0].text = std::nullopt;
    CPPUNIT_ASSERT(Accept(request).result == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReadNewest().parts.size());
  }

  void TestReadsHistory() {
    CPPUNIT_ASSERT(ConfigStoreReader(store_).ReadNewest(5).value().empty());
    AcceptFirst();
    Accept(SetRate("anna", 1, 200));
    Accept(SetRate("boris", 2, 300));
    ConfigStoreReader reader(store_);
    const auto history = reader.ReadNewest(2).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, history[0].version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, history[1].version);
    const ConfigBundle first =
        reader.ReadBundle(reader.ReadVersion(1).value(), nullptr).value();
    const HeadRecord newest = ReadNewest().head;
    const std::uint64_t calls = store_.calls();
    CPPUNIT_ASSERT(reader.ReadBundle(newest, &first));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("only the part that changed is read again",
                                 std::uint64_t{1}, store_.calls() - calls);
    CPPUNIT_ASSERT_EQUAL(ErrorCode::kNotFound,
                         reader.ReadVersion(4).error().code);
  }

 private:
  static WallTime AcceptedAt() { return FromUnixMillis(1796350207000); }

  ChangeRequest SetRate(const std::string& author, std::uint64_t based_on,
                        int rate) {
    ChangeRequest request;
    request.change_id = ChangeId("c-" + std::to_string(++changes_));
    request.based_on = based_on;
    request.author = author;
    request.note = "set the rate to " + std::to_string(rate);
    request.accepted_at = AcceptedAt();
    request.edits = {{PartName("customer/fabricators"),
                      test::SampleContract("fabricators", rate)}};
    return request;
  }

  AcceptanceOutcome Accept(const ChangeRequest& request) {
    return ConfigAcceptor(store_, waiter_, random_).Accept(request);
  }

  AcceptanceOutcome AcceptFirst() {
    ChangeRequest request = SetRate("anna", 0, 100);
    request.edits.push_back({MeshPartName(), test::SampleMesh()});
    return Accept(request);
  }

  ConfigBundle ReadNewest() {
    ConfigStoreReader reader(store_);
    const HeadRecord head = *reader.ReadHead().value();
    return reader.ReadBundle(head, nullptr).value();
  }

  HeadFaultStore store_;
  FakeWaiter waiter_;
  SeededRandom random_{1};
  int changes_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigAcceptorTest);

}  // namespace

}  // namespace cumin

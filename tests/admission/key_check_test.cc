#include "cumin_admission/key_check.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cumin {

namespace {

constexpr char kScheme[] = "Token";

/** Callers that the operators do not control send keys of all kinds. */
class KeyCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyCheckTest);
  CPPUNIT_TEST(TestOnlyOneKnownKeyIsAccepted);
  CPPUNIT_TEST(TestPublicRouteNeedsNoKey);
  CPPUNIT_TEST(TestUndatedConfigurationRejectsNoKey);
  CPPUNIT_TEST(TestWithoutCustomersNothingIsChecked);
  CPPUNIT_TEST(TestPriorityOfCustomerGoesFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Customer customer;
    customer.name = CustomerId("a");
    customer.keys = {KeyDigest::Of("key-1"), KeyDigest::Of("key-2")};
    RouteDocument document;
    document.version = 1;
    document.customers = {customer};
    keyed_ = RouteTable::Make(document, "test").value();
    document.customers.clear();
    unkeyed_ = RouteTable::Make(document, "test").value();
  }

  void TestOnlyOneKnownKeyIsAccepted() {
    for (const char* const it : {"Token key-1", "token  key-2"}) {
      const KeyDecision decision = Check({it});
      CPPUNIT_ASSERT_MESSAGE(it, decision.verdict == KeyVerdict::kAccepted);
      CPPUNIT_ASSERT_EQUAL(std::string("a"), decision.customer->name.str());
    }
    const std::string huge = "Token " + std::string(100000, 'x');
    const std::vector<std::vector<std::string>> bad = {
        {},
        {""},
        {"Token"},
        {"Token "},
        {"key-1"},
        {"Token k"},
        {"Basic key-1"},
        {"Tokenkey-1"},
        {huge},
        {"Token key-1", "Token key-2"},
        {"Token key-1 key-2"}};
    for (const std::vector<std::string>& it : bad) {
      CPPUNIT_ASSERT(Check(it).verdict == KeyVerdict::kRejected);
    }
  }

  void TestPublicRouteNeedsNoKey() {
    route_.is_public = true;
    CPPUNIT_ASSERT(Check({}).verdict == KeyVerdict::kNotNeeded);
    CPPUNIT_ASSERT(Check({"Token k"}).verdict == KeyVerdict::kNotNeeded);
    CPPUNIT_ASSERT(Check({"Token key-1"}).customer != nullptr);
  }

  // A daemon that is cut off cannot know that a key is wrong: it may be new.
  void TestUndatedConfigurationRejectsNoKey() {
    is_current_ = false;
    CPPUNIT_ASSERT(Check({"Token key-1"}).verdict == KeyVerdict::kUndated);
    CPPUNIT_ASSERT(Check({"Token k"}).verdict == KeyVerdict::kUndated);
    CPPUNIT_ASSERT(Check({}).verdict == KeyVerdict::kRejected);
    route_.is_public = true;
    CPPUNIT_ASSERT(Check({"Token key-1"}).verdict == KeyVerdict::kNotNeeded);
    CPPUNIT_ASSERT(Check({"Token key-1"}).customer == nullptr);
  }

  void TestWithoutCustomersNothingIsChecked() {
    const KeyDecision decision =
        CheckKey(*unkeyed_, route_, {}, kScheme, false);
    CPPUNIT_ASSERT(decision.verdict == KeyVerdict::kNotNeeded);
  }

  void TestPriorityOfCustomerGoesFirst() {
    Customer urgent;
    Customer other;
    other.priority = 1;
    Route last;
    last.priority = 1000;
    CPPUNIT_ASSERT(CombinePriorities(&urgent, last) <
                   CombinePriorities(&other, route_));
    CPPUNIT_ASSERT(CombinePriorities(&urgent, route_) <
                   CombinePriorities(&urgent, last));
    CPPUNIT_ASSERT_EQUAL(last.priority, CombinePriorities(nullptr, last));
  }

 private:
  KeyDecision Check(const std::vector<std::string>& credentials) const {
    return CheckKey(*keyed_, route_, credentials, kScheme, is_current_);
  }

  RefPtr<const RouteTable> keyed_;
  RefPtr<const RouteTable> unkeyed_;
  Route route_;
  bool is_current_ = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyCheckTest);

}  // namespace

}  // namespace cumin

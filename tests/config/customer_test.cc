#include "cumin_config/customer.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_config/route_delta.h"

namespace cumin {

namespace {

Customer MakeCustomer(const std::string& name, const std::string& key) {
  Customer customer;
  customer.name = CustomerId(name);
  customer.keys = {KeyDigest::Of(key)};
  customer.rate_per_s = 3;
  customer.burst = 5;
  return customer;
}

RefPtr<const RouteTable> MakeTable(std::uint64_t version,
                                   std::vector<Customer> customers) {
  RouteDocument document;
  document.version = version;
  document.customers = std::move(customers);
  return RouteTable::Make(std::move(document), "test").value();
}

class CustomerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerTest);
  CPPUNIT_TEST(TestInvalidCustomersNameFieldAndReason);
  CPPUNIT_TEST(TestKeyFindsItsCustomer);
  CPPUNIT_TEST(TestWithdrawnKeyTravelsInDelta);
  CPPUNIT_TEST(TestDeltaWithoutCustomersIsUnchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestInvalidCustomersNameFieldAndReason() {
    const Customer good = MakeCustomer("a", "k1");
    const auto expect_invalid = [&](const Customer& bad, const char* field) {
      const Result<void> checked = CheckCustomers({good, bad}, "test");
      CPPUNIT_ASSERT_MESSAGE(field, !checked);
      CPPUNIT_ASSERT_MESSAGE(
          field, checked.error().field.find(field) != std::string::npos);
      CPPUNIT_ASSERT(!checked.error().reason.empty());
    };
    CPPUNIT_ASSERT(CheckCustomers({good, MakeCustomer("b", "k2")}, "test"));
    expect_invalid(MakeCustomer("b", "k1"), "keys");
    expect_invalid(MakeCustomer("a", "k2"), "name");
    expect_invalid(MakeCustomer("", "k2"), "name");
    expect_invalid(MakeCustomer("b\r\nField: 1", "k2"), "name");
    Customer bad = MakeCustomer("b", "k2");
    bad.rate_per_s = -1;
    expect_invalid(bad, "rate");
    bad = MakeCustomer("b", "k2");
    bad.rate_per_s = 0;
    expect_invalid(bad, "burst");
    bad = MakeCustomer("b", "k2");
    bad.priority = -1;
    expect_invalid(bad, "priority");
  }

  void TestKeyFindsItsCustomer() {
    const auto table =
        MakeTable(1, {MakeCustomer("a", "k1"), MakeCustomer("b", "k2")});
    const Customer* const found = table->FindCustomer(KeyDigest::Of("k2"));
    CPPUNIT_ASSERT(found != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), found->name.str());
    CPPUNIT_ASSERT(table->FindCustomer(KeyDigest::Of("k3")) == nullptr);
  }

  void TestWithdrawnKeyTravelsInDelta() {
    const auto before =
        MakeTable(1, {MakeCustomer("a", "k1"), MakeCustomer("b", "k2"),
                      MakeCustomer("c", "k3")});
    Customer without_key = MakeCustomer("b", "k2");
    without_key.keys.clear();
    const auto after = MakeTable(2, {MakeCustomer("a", "k1"), without_key});
    const std::string text = EncodeRouteDelta(MakeRouteDelta(&*before, *after));
    CPPUNIT_ASSERT(text.find("k1") == std::string::npos);
    const auto applied =
        ApplyRouteDelta(&*before, DecodeRouteDelta(text, "peer").value())
            .value();
    CPPUNIT_ASSERT(applied->FindCustomer(KeyDigest::Of("k1")) != nullptr);
    CPPUNIT_ASSERT(applied->FindCustomer(KeyDigest::Of("k2")) == nullptr);
    CPPUNIT_ASSERT(applied->FindCustomer(KeyDigest::Of("k3")) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, applied->customers().size());
  }

  // A deployment without customers has no byte more on the wire.
  void TestDeltaWithoutCustomersIsUnchanged() {
    const auto table = MakeTable(1, {});
    const std::string text = EncodeRouteDelta(MakeRouteDelta(nullptr, *table));
    CPPUNIT_ASSERT(text.find("customers") == std::string::npos);
    CPPUNIT_ASSERT(text.find("\"o\"") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerTest);

}  // namespace

}  // namespace cumin

#include "cumin_config/route_table.h"

#include "cumin_config/route_delta.h"
#include "support/property.h"

namespace cumin {

namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.prefix = prefix;
  route.timeout = std::chrono::seconds(1);
  route.services.push_back(WeightedService{ServiceId("a"), 1});
  return route;
}

RouteDocument MakeDocument(std::uint64_t version) {
  RouteDocument document;
  document.version = version;
  document.services = {ServiceId("a"), ServiceId("b")};
  document.routes = {MakeRoute("r1", "/x/"), MakeRoute("r2", "/x/y/")};
  return document;
}

std::string InvalidFieldOf(const RouteDocument& document) {
  const auto table = RouteTable::Make(document, "test");
  return table ? "" : table.error().field;
}

/** @returns a document with a random subset of ten routes, with random
    priorities */
RouteDocument RandomDocument(std::uint64_t version) {
  RouteDocument document = MakeDocument(version);
  document.routes.clear();
  for (int i = 0; i < 10; ++i) {
    if (*rc::gen::inRange(0, 3) == 0) {
      continue;
    }
    const std::string name = "r" + std::to_string(i);
    Route route = MakeRoute(name, "/" + name + "/");
    route.priority = *rc::gen::inRange(0, 3);
    document.routes.push_back(route);
  }
  return document;
}

bool HaveSameRoutes(const RouteTable& a, const RouteTable& b) {
  if (a.routes().size() != b.routes().size() || !(a.limits() == b.limits())) {
    return false;
  }
  return std::all_of(a.routes().begin(), a.routes().end(),
                     [&](const Route& it) {
                       const Route* other = b.Find(it.host, it.prefix);
                       return other != nullptr && *other == it;
                     });
}

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(TestLongestPrefixWins);
  CPPUNIT_TEST(TestNoRouteForOtherHostOrPath);
  CPPUNIT_TEST(TestInvalidDocumentsAreRefused);
  CPPUNIT_TEST(TestServiceIsDrawnByWeight);
  CPPUNIT_TEST(TestDeltaProducesTheSameTable);
  CPPUNIT_TEST(TestDeltaFromAnotherVersionIsRefused);
  CPPUNIT_TEST(TestTruncatedDeltaIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestLongestPrefixWins() {
    const auto table = RouteTable::Make(MakeDocument(1), "test").value();
    CPPUNIT_ASSERT_EQUAL(std::string("r2"),
                         table->Find("shop.example", "/x/y/z")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         table->Find("shop.example", "/x/yz")->name);
  }

  void TestNoRouteForOtherHostOrPath() {
    const auto table = RouteTable::Make(MakeDocument(1), "test").value();
    CPPUNIT_ASSERT(table->Find("other.example", "/x/") == nullptr);
    CPPUNIT_ASSERT(table->Find("shop.example", "/x") == nullptr);
  }

  void TestInvalidDocumentsAreRefused() {
    RouteDocument document = MakeDocument(0);
    CPPUNIT_ASSERT_EQUAL(std::string("version"), InvalidFieldOf(document));
    document = MakeDocument(1);
    document.routes[1].prefix = "x/";
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': prefix"),
                         InvalidFieldOf(document));
    document = MakeDocument(1);
    document.routes[1].services[0].service = ServiceId("c");
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': service"),
                         InvalidFieldOf(document));
    document = MakeDocument(1);
    document.routes[1].host.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': host"),
                         InvalidFieldOf(document));
    document = MakeDocument(1);
    document.routes[1].timeout = Duration(-1);
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': timeout"),
                         InvalidFieldOf(document));
    document = MakeDocument(1);
    document.routes[1].services[0].weight = 0;
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': service"),
                         InvalidFieldOf(document));
    document = MakeDocument(1);
    document.routes[1].prefix = document.routes[0].prefix;
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': prefix"),
                         InvalidFieldOf(document));
  }

  void TestServiceIsDrawnByWeight() {
    Route route = MakeRoute("r", "/");
    route.services = {WeightedService{ServiceId("a"), 9},
                      WeightedService{ServiceId("b"), 1}};
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         RouteTable::DrawService(route, 0.0).str());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         RouteTable::DrawService(route, 0.89).str());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         RouteTable::DrawService(route, 0.91).str());
  }

  void TestDeltaProducesTheSameTable() {
    test::CheckProperty("applying a delta produces the same table", [] {
      const auto before = RouteTable::Make(RandomDocument(4), "test").value();
      const auto after = RouteTable::Make(RandomDocument(9), "test").value();
      const bool from_scratch = *rc::gen::arbitrary<bool>();
      const RouteTable* const base = from_scratch ? nullptr : before.get();
      const std::string text = EncodeRouteDelta(MakeRouteDelta(base, *after));
      const RouteDelta delta = DecodeRouteDelta(text, "test").value();
      const auto applied = ApplyRouteDelta(base, delta).value();
      RC_ASSERT(applied->version() == 9U);
      RC_ASSERT(HaveSameRoutes(*applied, *after));
    });
  }

  void TestDeltaFromAnotherVersionIsRefused() {
    const auto v4 = RouteTable::Make(MakeDocument(4), "test").value();
    const auto v5 = RouteTable::Make(MakeDocument(5), "test").value();
    const auto v6 = RouteTable::Make(MakeDocument(6), "test").value();
    const RouteDelta delta = MakeRouteDelta(v5.get(), *v6);
    for (const RouteTable* const base : {v4.get(), v6.get()}) {
      const auto applied = ApplyRouteDelta(base, delta);
      CPPUNIT_ASSERT(!applied);
      CPPUNIT_ASSERT(applied.error().code == ErrorCode::kConflict);
    }
    CPPUNIT_ASSERT(!ApplyRouteDelta(nullptr, delta));
  }

  void TestTruncatedDeltaIsRefused() {
    const auto table = RouteTable::Make(MakeDocument(1), "test").value();
    const std::string text = EncodeRouteDelta(MakeRouteDelta(nullptr, *table));
    for (std::size_t n = 0; n < text.size(); ++n) {
      CPPUNIT_ASSERT(!DecodeRouteDelta(text.substr(0, n), "test"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace

}  // namespace cumin

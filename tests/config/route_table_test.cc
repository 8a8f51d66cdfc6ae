#include "cumin_config/route_table.h"

#include <algorithm>
#include <functional>
#include <set>

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

std::string FaultOf(const RouteDocument& document) {
  const auto table = RouteTable::Make(document, "test");
  return table ? "" : table.error().field;
}

/** A document with a random subset of ten routes, some with other limits. */
RouteDocument DrawDocument(std::uint64_t version) {
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
  CPPUNIT_TEST(TestInvalidDocumentsAreRefusedWhole);
  CPPUNIT_TEST(TestSplitFollowsWeights);
  CPPUNIT_TEST(TestDeltaLeadsToTheSameTable);
  CPPUNIT_TEST(TestDeltaFromAnotherVersionIsRefused);
  CPPUNIT_TEST(TestDeltaHelpsWhoMissedSomeVersions);
  CPPUNIT_TEST(TestDeltaNeverLeadsToOtherRoutes);
  CPPUNIT_TEST(TestDigestTellsRoutesApart);
  CPPUNIT_TEST(TestUnreadableDeltaIsRefused);
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

  void TestInvalidDocumentsAreRefusedWhole() {
    RouteDocument document = MakeDocument(0);
    CPPUNIT_ASSERT_EQUAL(std::string("version"), FaultOf(document));
    document = MakeDocument(1);
    document.routes[1].prefix = "x/";
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': prefix"), FaultOf(document));
    document = MakeDocument(1);
    document.routes[1].services[0].service = ServiceId("c");
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': service"), FaultOf(document));
    document = MakeDocument(1);
    document.routes[1].host.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': host"), FaultOf(document));
    document = MakeDocument(1);
    document.routes[1].timeout = Duration(-1);
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': timeout"), FaultOf(document));
    document = MakeDocument(1);
    document.routes[1].services[0].weight = 0;
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': service"), FaultOf(document));
    document = MakeDocument(1);
    document.routes[1].prefix = document.routes[0].prefix;
    CPPUNIT_ASSERT_EQUAL(std::string("route 'r2': prefix"), FaultOf(document));
  }

  void TestSplitFollowsWeights() {
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

  void TestDeltaLeadsToTheSameTable() {
    test::CheckProperty("a delta leads to the same table", [] {
      const auto before = RouteTable::Make(DrawDocument(4), "test").value();
      const auto after = RouteTable::Make(DrawDocument(9), "test").value();
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

  // Guards against versions that are late because a daemon that took another
  // version in between can't apply a pushed change and pulls the whole table.
  void TestDeltaHelpsWhoMissedSomeVersions() {
    RouteDocument document = MakeDocument(4);
    const auto v4 = RouteTable::Make(document, "test").value();
    document.version = 5;
    document.routes[0].priority = 1;
    const auto v5 = RouteTable::Make(document, "test").value();
    document.version = 6;
    document.routes.push_back(MakeRoute("r3", "/z/"));
    const auto v6 = RouteTable::Make(document, "test").value();
    const RouteDelta delta = MakeRouteDelta(v4.get(), *v6);
    for (const RouteTable* const base : {v4.get(), v5.get()}) {
      const auto applied = ApplyRouteDelta(base, delta);
      CPPUNIT_ASSERT(applied);
      CPPUNIT_ASSERT(HaveSameRoutes(*applied.value(), *v6));
    }
  }

  void TestDeltaNeverLeadsToOtherRoutes() {
    test::CheckProperty("a delta leads to its own routes or nowhere", [] {
      const auto first = RouteTable::Make(DrawDocument(4), "test").value();
      const auto between = RouteTable::Make(DrawDocument(6), "test").value();
      const auto last = RouteTable::Make(DrawDocument(9), "test").value();
      const RouteDelta delta = MakeRouteDelta(first.get(), *last);
      const auto applied = ApplyRouteDelta(between.get(), delta);
      if (applied) {
        RC_ASSERT(HaveSameRoutes(*applied.value(), *last));
      } else {
        RC_ASSERT(applied.error().code == ErrorCode::kConflict);
      }
    });
    // A route that changed and changed back is in no change from end to end.
    const auto before = RouteTable::Make(MakeDocument(4), "test").value();
    RouteDocument document = MakeDocument(5);
    document.routes[0].priority = 1;
    const auto between = RouteTable::Make(document, "test").value();
    const auto after = RouteTable::Make(MakeDocument(6), "test").value();
    const auto applied =
        ApplyRouteDelta(between.get(), MakeRouteDelta(before.get(), *after));
    CPPUNIT_ASSERT(!applied);
    CPPUNIT_ASSERT_EQUAL(std::string("digest"), applied.error().field);
  }

  void TestDigestTellsRoutesApart() {
    const RouteDocument plain = MakeDocument(4);
    std::set<std::uint64_t> digests;
    const auto add = [&](const RouteDocument& document) {
      digests.insert(RouteTable::Make(document, "test").value()->digest());
    };
    RouteDocument document = plain;
    std::reverse(document.routes.begin(), document.routes.end());
    document.version = 5;
    add(plain);
    add(document);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, digests.size());
    const auto add_changed = [&](const std::function<void(Route&)>& change) {
      document = plain;
      change(document.routes[1]);
      add(document);
    };
    add_changed([](Route& it) { it.name = "r9"; });
    add_changed([](Route& it) { it.host = "other.example"; });
    add_changed([](Route& it) { it.prefix = "/q/"; });
    add_changed([](Route& it) { it.kind = RouteKind::kDownload; });
    add_changed([](Route& it) { it.attempts = 3; });
    add_changed([](Route& it) { it.timeout *= 2; });
    add_changed([](Route& it) { it.target_latency = it.timeout; });
    add_changed([](Route& it) { it.priority = 2; });
    add_changed([](Route& it) { it.services[0].weight = 2; });
    add_changed([](Route& it) { it.services[0].service = ServiceId("b"); });
    add_changed([](Route& it) {
      it.services.push_back(WeightedService{ServiceId("b"), 1});
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, digests.size());
  }

  void TestUnreadableDeltaIsRefused() {
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

#include <cppunit/extensions/HelperMacros.h>

#include "announcement_handler.h"
#include "base64.h"
#include "cumin_config/route_delta.h"
#include "platform_route_source.h"
#include "support/property.h"

namespace cumin::platform {

namespace {

constexpr char kDocument[] =
    R"({"version":"r7","base-version":"r5","resources":[)"
    R"({"type":"routes","metadata":{"name":"r-1"},"spec":{"host":"A.example",)"
    R"("prefix":"/p/","kind":"non_idempotent","timeout-s":0.8,)"
    R"("target-latency-s":0.4,"priority":2,"split":[)"
    R"({"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("attempts":2}},)"
    R"({"type":"services","metadata":{"name":"s1"},"spec":{"max-conns":130}},)"
    R"({"type":"services","metadata":{"name":"s2"},"spec":{"max-conns":130}},)"
    R"({"type":"limits","metadata":{},"spec":{"max-header-bytes":16384,)"
    R"("max-body-bytes":1000,"header-timeout-s":3,"idle-timeout-s":15}}]})";

constexpr char kReport[] =
    R"({"addr":"10.0.0.1:80","born":1700000000123,"info":{"service":"s1",)"
    R"("version":"v1","zone":"z","concurrency":6},"status":{"state":"ready",)"
    R"("seq":4,"cold-left-s":1.5}})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

MeshSettings MakeSettings() {
  MeshSettings settings;
  settings.service = ServiceId("s1");
  settings.target = Endpoint{"10.0.0.1", 80};
  return settings;
}

class PlatformDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDocumentsTest);
  CPPUNIT_TEST(TestConfigurationIsRead);
  CPPUNIT_TEST(TestInvalidConfigurationNamesFieldAndReason);
  CPPUNIT_TEST(TestUnknownKindRunsAtMostOnce);
  CPPUNIT_TEST(TestCustomersAreRead);
  CPPUNIT_TEST(TestOrderAndStateOfRolloutAreRead);
  CPPUNIT_TEST(TestConfigurationCutAnywhereIsRefused);
  CPPUNIT_TEST(TestReportIsRead);
  CPPUNIT_TEST(TestInvalidReportIsRefused);
  CPPUNIT_TEST(TestDeeplyNestedBytesAreRefused);
  CPPUNIT_TEST(TestBase64);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestConfigurationIsRead() {
    const auto table = PlatformRouteSource().Parse(kDocument).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table->version());
    const Route* const route = table->Find("a.example", "/p/x");
    CPPUNIT_ASSERT(route != nullptr);
    CPPUNIT_ASSERT_EQUAL(RouteKind::kAtMostOnce, route->kind);
    CPPUNIT_ASSERT_EQUAL(2, route->attempts);
    CPPUNIT_ASSERT_EQUAL(2, route->priority);
    CPPUNIT_ASSERT(route->timeout == std::chrono::milliseconds(800));
    CPPUNIT_ASSERT(route->target_latency == std::chrono::milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(90, route->services[0].weight);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, table->limits().max_body_bytes);
  }

  void TestInvalidConfigurationNamesFieldAndReason() {
    const std::pair<const char*, const char*> faults[] = {
        {R"("r7")", R"("7")"},
        {R"("r7")", R"("r")"},
        {R"("r7")", "7"},
        {R"("A.example")", R"("")"},
        {R"("host":"A.example",)", ""},
        {R"("/p/")", R"("p/")"},
        {R"("/p/")", R"("/p")"},
        {R"("timeout-s":0.8)", R"("timeout-s":-0.8)"},
        {R"("timeout-s":0.8,)", ""},
        {R"("timeout-s":0.8)", R"("timeout-s":"0.8")"},
        {R"("service":"s2","weight")", R"("service":"s3","weight")"},
        {R"("weight":10)", R"("weight":-10)"},
        {R"("attempts":2)", R"("attempts":0)"},
        {R"("priority":2)", R"("priority":-1)"},
    };
    for (const auto& [from, to] : faults) {
      const auto table =
          PlatformRouteSource().Parse(Replaced(kDocument, from, to));
      CPPUNIT_ASSERT_MESSAGE(to, !table);
      CPPUNIT_ASSERT_MESSAGE(to, !table.error().field.empty());
      CPPUNIT_ASSERT_MESSAGE(to, !table.error().reason.empty());
    }
  }

  // Seen before any change: one route of a kind that the daemon did not know
  // put the whole fleet out of service.
  void TestUnknownKindRunsAtMostOnce() {
    const auto upload =
        PlatformRouteSource()
            .Parse(Replaced(kDocument, "non_idempotent", "upload"))
            .value();
    CPPUNIT_ASSERT_EQUAL(RouteKind::kUpload, upload->routes()[0].kind);
    CPPUNIT_ASSERT(!upload->routes()[0].IsRepeatable());
    CPPUNIT_ASSERT(upload->remarks().empty());
    const auto unknown =
        PlatformRouteSource()
            .Parse(Replaced(kDocument, "non_idempotent", "sometimes"))
            .value();
    CPPUNIT_ASSERT_EQUAL(RouteKind::kAtMostOnce, unknown->routes()[0].kind);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unknown->remarks().size());
  }

  void TestCustomersAreRead() {
    const std::string customer =
        R"({"type":"tenants","metadata":{"name":"t1"},"spec":{"api-keys":)"
        R"(["k1","k2"],"priority":1,"rate-per-s":4.5,"burst":9}},)";
    const std::string text = Replaced(kDocument, R"({"type":"limits")",
                                      customer + R"({"type":"limits")");
    const auto table = PlatformRouteSource().Parse(text).value();
    const Customer* const found = table->FindCustomer(KeyDigest::Of("k2"));
    CPPUNIT_ASSERT(found != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), found->name.str());
    CPPUNIT_ASSERT_EQUAL(1, found->priority);
    CPPUNIT_ASSERT_EQUAL(4.5, found->rate_per_s);
    CPPUNIT_ASSERT_EQUAL(9.0, found->burst);
    for (const auto& [from, to] :
         {std::pair<const char*, const char*>{R"("k1")", R"("")"},
          {R"("k1")", R"("k2")"},
          {R"("rate-per-s":4.5,)", ""},
          {R"("rate-per-s":4.5)", R"("rate-per-s":-1)"},
          {R"("burst":9)", R"("burst":"9")"}}) {
      CPPUNIT_ASSERT_MESSAGE(
          from, !PlatformRouteSource().Parse(Replaced(text, from, to)));
    }
  }

  void TestOrderAndStateOfRolloutAreRead() {
    const PlatformRouteSource source;
    const RolloutOrder order =
        source
            .ParseRollout(
                R"({"service":"s1","to-version":"v2","duration-s":12})")
            .value();
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), order.to_version);
    CPPUNIT_ASSERT(order.duration == std::chrono::seconds(12));
    CPPUNIT_ASSERT(!source.ParseRollout("{}"));
    Rollout rollout;
    rollout.order = order;
    rollout.state = RolloutState::kRolledBack;
    const std::string text = source.EncodeRolloutState(rollout);
    CPPUNIT_ASSERT(text.find("rolled_back") != std::string::npos);
    CPPUNIT_ASSERT(source.ParseRolloutState(text).value().state ==
                   rollout.state);
  }

  void TestConfigurationCutAnywhereIsRefused() {
    const std::string text = kDocument;
    for (std::size_t n = 0; n < text.size(); ++n) {
      CPPUNIT_ASSERT(!PlatformRouteSource().Parse(text.substr(0, n)));
    }
  }

  void TestReportIsRead() {
    const TargetAnnouncement report =
        AnnouncementHandler::Parse("i-1", kReport, MakeSettings()).value();
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), report.instance);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123},
                         ToUnixMillis(report.process_started_at));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, report.sequence);
    CPPUNIT_ASSERT_EQUAL(6, report.slots);
    CPPUNIT_ASSERT(!report.leaving);
    CPPUNIT_ASSERT(report.warmup_remaining == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(
        AnnouncementHandler::Parse(
            "i-1", Replaced(kReport, "ready", "draining"), MakeSettings())
            .value()
            .leaving);
  }

  void TestInvalidReportIsRefused() {
    const std::pair<const char*, const char*> faults[] = {
        {R"("ready")", R"("asleep")"},
        {R"("ready")", "1"},
        {R"("seq":4)", R"("seq":"4")"},
        {R"("seq":4,)", ""},
        {R"("s1")", R"("s2")"},
        {R"("10.0.0.1:80")", R"("10.0.0.2:80")"},
        {R"("concurrency":6)", R"("concurrency":-6)"},
        {R"(1700000000123)", "1.5"},
        {"{", "["},
    };
    for (const auto& [from, to] : faults) {
      CPPUNIT_ASSERT_MESSAGE(
          to, !AnnouncementHandler::Parse("i-1", Replaced(kReport, from, to),
                                          MakeSettings()));
    }
  }

  void TestDeeplyNestedBytesAreRefused() {
    const std::string text(5000, '[');
    CPPUNIT_ASSERT(!PlatformRouteSource().Parse(text));
    CPPUNIT_ASSERT(!AnnouncementHandler::Parse("i-1", text, MakeSettings()));
    CPPUNIT_ASSERT(!DecodeRouteDelta(text, "test"));
  }

  void TestBase64() {
    test::CheckProperty("base64 round trip", [] {
      const auto bytes = *rc::gen::arbitrary<std::string>();
      std::string decoded;
      RC_ASSERT(DecodeBase64(EncodeBase64(bytes), &decoded));
      RC_ASSERT(decoded == bytes);
    });
    std::string decoded;
    for (const char* const it : {"a", "ab", "abc", "====", "a===", "ab!d"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !DecodeBase64(it, &decoded));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), EncodeBase64("node-1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDocumentsTest);

}  // namespace

}  // namespace cumin::platform

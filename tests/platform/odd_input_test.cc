#include <algorithm>
#include <string>
#include <vector>

#include "announcement_handler.h"
#include "cumin_admission/suspect_codec.h"
#include "cumin_core/json_text.h"
#include "cumin_daemon/hop_codec.h"
#include "cumin_fleet/fleet_codec.h"
#include "platform/mesh_fixture.h"
#include "platform_route_source.h"
#include "platform_store.h"
#include "support/property.h"

namespace cumin::platform {

namespace {

/** Texts that replace a part of a valid document. */
const std::vector<std::string>& OddTexts() {
  static const std::vector<std::string> texts = {
      "",
      "null",
      "true",
      "-1",
      "0",
      "65536",
      "1e999",
      "1e300",
      "-1e300",
      "18446744073709551615",
      "18446744073709551616",
      "9223372036854775807",
      "-9223372036854775808",
      "\"\"",
      "\"\xff\xfe\"",
      "\"10.0.0.1:0\"",
      "\"10.0.0.1:65536\"",
      "\"10.0.0.1:-1\"",
      "[]",
      "{}",
      std::string(2000, '['),
      std::string(2000, '{'),
      "\"" + std::string(100000, 'x') + "\""};
  return texts;
}

/** @returns the text with up to three random parts replaced */
std::string Mutate(std::string text) {
  const int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    const auto begin = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto end = *rc::gen::oneOf(
        rc::gen::inRange<std::size_t>(begin, text.size() + 1),
        rc::gen::just(std::min(text.size(), text.find_first_of(",]}", begin))));
    const std::string odd = *rc::gen::oneOf(rc::gen::elementOf(OddTexts()),
                                            rc::gen::arbitrary<std::string>());
    text.replace(begin, end - begin, odd);
  }
  return text;
}

constexpr char kReport[] =
    R"({"addr":"10.0.0.1:80","born":1700000000123,"info":{"service":"s1",)"
    R"("concurrency":6},"status":{"state":"ready","seq":4,"cold-left-s":1.5}})";
constexpr char kGossip[] =
    R"({"f":"vm","i":5,"k":5,"c":3,"h":"","p":0,"q":10,"m":7,"x":9,"u":[)"
    R"({"v":"vm2","e":"10.0.0.2:80","r":"r","d":"z","i":4,"s":1,)"
    R"("t":{"n":"svc","e":"10.0.0.2:81","c":4,"s":1}}]})";
constexpr char kSuspects[] =
    R"({"records":[{"fingerprint":7,"remaining_ms":60000,"excused_through":0,)"
    R"("crashes":[{"vm":"vm","sequence":9,"alone":true}]}]})";

/** Answers every request with fixed bytes. */
class FixedHandler final : public HttpRequestHandler {
 public:
  Task<HttpResponse> Handle(HttpRequest /*request*/,
                            CallerWatch& /*caller*/) override {
    HttpResponse response;
    response.body = body;
    co_return response;
  }

  std::string body;
};

/** Input from other writers: bytes that no daemon, target or operator writes.
 */
class OddInputTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(OddInputTest);
  CPPUNIT_TEST(TestOddDocumentsAreReadOrRefused);
  CPPUNIT_TEST(TestOddHopsAreReadOrRefused);
  CPPUNIT_TEST(TestOddEntryIsLeftOutOfAList);
  CPPUNIT_TEST(TestDaemonFollowsContactsBesideOddOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestOddDocumentsAreReadOrRefused() {
    MeshSettings settings;
    settings.service = ServiceId("s1");
    settings.target = Endpoint{"10.0.0.1", 80};
    const std::string document = MakeConfiguration(1, "idempotent");
    test::CheckProperty("odd documents are read or refused", [&] {
      const auto report =
          AnnouncementHandler::Parse("i", Mutate(kReport), settings);
      if (report) {
        RC_ASSERT(report.value().warmup_remaining >= Duration::zero());
      }
      const auto table = PlatformRouteSource().Parse(Mutate(document));
      if (table) {
        RC_ASSERT(table.value()->version() > 0);
      }
      const auto gossip = ParseJson(Mutate(kGossip), "peer");
      if (gossip) {
        const auto message = ParseGossip(gossip.value());
        if (message) {
          RC_ASSERT(message.value().store_quiet >= Duration::zero());
        }
      }
      const auto suspects = ParseJson(Mutate(kSuspects), "peer");
      if (suspects) {
        (void)DecodeSuspects(suspects.value());
      }
    });
  }

  void TestOddHopsAreReadOrRefused() {
    const MonoTime now{std::chrono::hours(1)};
    MeshCall call;
    call.attempt = "a";
    call.service = ServiceId("s");
    call.caller = ServiceId("c");
    call.route = "r";
    call.deadline = now + std::chrono::seconds(1);
    call.wanted_by = now;
    const std::string hop = EncodeHop(call, now).headers.Get(kHopField);
    const std::string outcome =
        EncodeOutcome(CallOutcome{}).headers.Get("Cumin-Outcome");
    test::CheckProperty("odd hops are read or refused", [&] {
      HttpRequest request;
      request.headers.Set(kHopField, Mutate(hop));
      request.headers.Set("Cumin-Suspicion", Mutate(kSuspects));
      (void)DecodeHop(std::move(request), now);
      HttpResponse response;
      response.headers.Set("Cumin-Outcome", Mutate(outcome));
      response.headers.Set("Cumin-Suspicion", Mutate(kSuspects));
      (void)DecodeOutcome(std::move(response));
    });
  }

  // Guards against one unreadable entry that hides all others of its list.
  void TestOddEntryIsLeftOutOfAList() {
    const std::string good =
        R"({"key":"p/a","value":"MQ==","rev":2,"create-rev":2,"lease":0})";
    FixedHandler handler;
    HttpListener listener(loop_->executor(), handler);
    Endpoint address;
    loop_->Post([&] {
      address = listener.Start(Endpoint{"127.0.0.1", 0}).value();
    });
    PlatformStore reader(*pool_, address);
    for (const std::string odd :
         {"1", "[]", "{}", R"({"key":"p/b","value":1,"rev":3})",
          R"({"key":"p/b","value":"?","rev":3})",
          R"({"key":"p/b","value":"MQ==","rev":-1})",
          R"({"key":"p/b","value":"MQ==","rev":1e300})",
          R"({"key":7,"value":"MQ==","rev":3})"}) {
      loop_->Post([&] {
        handler.body = R"({"items":[)";
        handler.body.append(odd).append(",").append(good);
        handler.body.append(R"(],"as-of":9})");
      });
      const auto listed =
          loop_->Run(reader.List("p/", ReadFreshness::kCurrent));
      CPPUNIT_ASSERT_MESSAGE(odd, listed.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed.value().items.size());
      CPPUNIT_ASSERT_EQUAL(std::string("1"), listed.value().items[0].value);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed.value().skipped.size());
    }
    loop_->Stop();
  }

  void TestDaemonFollowsContactsBesideOddOnes() {
    const std::vector<std::string> values = {"",
                                             "10.0.0.1:0",
                                             "10.0.0.1:65536",
                                             "10.0.0.1:-1",
                                             "\xff\xfe",
                                             "127.0.0.1",
                                             "1e999",
                                             std::string(100000, '['),
                                             std::string(900000, 'x')};
    loop_->Post([&] {
      int n = 0;
      for (const std::string& it : values) {
        store_->Put("cumin/contacts/ odd&key=" + std::to_string(n++), it);
      }
      store_->page_size = 2;
    });
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[1], "/p1/", 200);
    for (const std::string& it : OddTexts()) {
      HttpRequest request;
      request.method = "PUT";
      request.path = test::AnnouncementPath("odd");
      request.body = it;
      CPPUNIT_ASSERT(Send(vms_[0]->addresses.announcements, request).status >=
                     400);
      request.method = "POST";
      for (const char* path : {"/-/members", "/-/suspects", "/-/config/push"}) {
        request.path = path;
        CPPUNIT_ASSERT(Send(vms_[0]->addresses.peers, request).status >= 400);
      }
      SetConfiguration(it);
    }
    SetConfiguration(MakeConfiguration(7, "idempotent"));
    AwaitAnswer(*vms_[0], "/p7/", 200);
    for (const auto& it : vms_) {
      CPPUNIT_ASSERT(it->daemon->IsRunning());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddInputTest);

}  // namespace

}  // namespace cumin::platform

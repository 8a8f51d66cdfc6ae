#include <future>
#include <random>

#include "platform/mesh_fixture.h"

namespace cumin::platform {

namespace {

constexpr double kLinkMbps = 1;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr std::size_t kAnswerBytes = 200000;
/** The link needs twice as long for these as their callers wait. */
constexpr int kCalls = 6;

class SlowLinkTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(SlowLinkTest);
  CPPUNIT_TEST(TestLargeResponsesArePacedAtLinkRate);
  CPPUNIT_TEST(TestFullConfigurationFitsBesideLargeResponses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Regression test for issue 17: large responses saturated the link of a VM,
  // and configuration pushes, handshakes and connection closes queued behind
  // them for seconds.
  void TestLargeResponsesArePacedAtLinkRate() {
    extra_settings_ = "link_mbps: 1\n";
    StartVm("svc");
    StartVm("caller");
    loop_->Post([this] { vms_[0]->handler.min_answer_bytes = kAnswerBytes; });
    Announce(*vms_[0], "ready", 1);
    // The daemon learns the response size from the first response.
    AwaitAnswer(*vms_[1], "/p1/", 200);
    const auto began = std::chrono::steady_clock::now();
    std::vector<std::future<HttpResponse>> calls;
    calls.reserve(kCalls);
    for (int i = 0; i < kCalls; ++i) {
      calls.push_back(std::async(std::launch::async,
                                 [this] { return Call(*vms_[1], "/p1/"); }));
    }
    double bytes = 0;
    for (std::future<HttpResponse>& it : calls) {
      const HttpResponse answer = it.get();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.status) + " " + answer.body,
                             answer.status == 200 || answer.status == 503);
      if (answer.status == 200) {
        CPPUNIT_ASSERT_EQUAL(kAnswerBytes, answer.body.size());
        bytes += static_cast<double>(answer.body.size());
      } else {
        CPPUNIT_ASSERT(answer.headers.Has("Retry-After"));
      }
    }
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - began;
    CPPUNIT_ASSERT(bytes > 0);
    CPPUNIT_ASSERT(bytes <= elapsed.count() * kLinkMbps * kBytesPerMegabit);
  }

  // Regression test for issue 17: pushing a change of 1,200 routes to four
  // peers over a slow link exceeded the push time-out. Other daemons repeated
  // each push, which saturated the links of the fleet for seconds.
  void TestFullConfigurationFitsBesideLargeResponses() {
    SetConfiguration(MakeLargeConfiguration());
    StartVm("svc");
    HttpRequest pull;
    pull.path = "/-/config/pull";
    pull.query = "0";
    const std::string body = Send(vms_[0]->addresses.peers, pull).body;
    CPPUNIT_ASSERT(!body.empty());
    CPPUNIT_ASSERT(body.size() <= kMaxPushBytes);
  }

 private:
  /** Capacity of a 7 Mbit/s link within the push time-out of one second, for
      each of four children, using the 15 % that large responses leave free. */
  static constexpr std::size_t kMaxPushBytes = 7 * 1000000 / 8 * 15 / 100 / 4;

  /** @returns 1,200 routes with random names, which compress badly */
  static std::string MakeLargeConfiguration() {
    constexpr int kRoutes = 1200;
    std::mt19937 random(1);
    const auto word = [&random] {
      static constexpr char kLetters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
      std::string text;
      for (int i = 0; i < 8; ++i) {
        text += kLetters[random() % (sizeof(kLetters) - 1)];
      }
      return text;
    };
    std::vector<test::RouteText> routes;
    routes.reserve(kRoutes);
    for (int i = 0; i < kRoutes; ++i) {
      routes.push_back({word(), "/" + word() + "/", "idempotent", "svc"});
    }
    return test::MakeConfigurationText(1, routes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowLinkTest);

}  // namespace

}  // namespace cumin::platform

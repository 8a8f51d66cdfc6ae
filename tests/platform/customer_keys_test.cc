#include <string>

#include "platform/mesh_fixture.h"

namespace cumin::platform {

namespace {

constexpr char kKey[] = "key-of-a-customer";
constexpr char kOtherKey[] = "key-of-another-one";
constexpr int kRate = 5;

/** Customers' keys and allotments, with daemons as processes. */
class CustomerKeysTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(CustomerKeysTest);
  CPPUNIT_TEST(TestTargetGetsNameInPlaceOfKey);
  CPPUNIT_TEST(TestWithdrawnKeyIsRejectedEverywhere);
  CPPUNIT_TEST(TestCutOffDaemonsServePublicRoutesOnly);
  CPPUNIT_TEST(TestCustomerAboveAllotmentIsRefused);
  CPPUNIT_TEST(TestStoreThatComesBackOlderUndoesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    MeshFixture::setUp();
    extra_settings_ = "key_withdrawal_limit_s: 2\n";
    Configure(1, {kKey, kOtherKey});
    StartVm("svc");
    StartVm("caller");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    for (const auto& it : vms_) {
      AwaitKeyed(*it, kKey, 200);
    }
  }

  void TestTargetGetsNameInPlaceOfKey() {
    const HttpHeaders& seen = vms_[0]->handler.last.headers;
    CPPUNIT_ASSERT_EQUAL(200, CallWithKey(*vms_[1], "/p/", kKey));
    CPPUNIT_ASSERT_EQUAL(std::string("customer"), seen.Get("X-Tenant"));
    CPPUNIT_ASSERT(!seen.Has("Authorization"));
    CPPUNIT_ASSERT_EQUAL(200, CallWithKey(*vms_[1], "/open/", ""));
    CPPUNIT_ASSERT(!seen.Has("X-Tenant"));
    const int runs = vms_[0]->handler.runs;
    for (const std::string& it :
         {std::string(), std::string("wrong"), std::string(8000, 'x')}) {
      CPPUNIT_ASSERT_EQUAL(401, CallWithKey(*vms_[1], "/p/", it));
    }
    CPPUNIT_ASSERT_EQUAL(runs, vms_[0]->handler.runs);
  }

  // One daemon cannot reach the store when the key goes.
  void TestWithdrawnKeyIsRejectedEverywhere() {
    loop_->Post([this] { vms_[2]->store_proxy->is_blocked = true; });
    Configure(2, {kOtherKey});
    for (const auto& it : vms_) {
      AwaitKeyed(*it, kKey, 401);
      AwaitKeyed(*it, kOtherKey, 200);
    }
  }

  // No daemon knows any more whether a key was withdrawn. Each call is either
  // served or refused as not run, and soon none is served.
  void TestCutOffDaemonsServePublicRoutesOnly() {
    loop_->Post([this] {
      for (const auto& it : vms_) {
        it->store_proxy->is_blocked = true;
      }
    });
    for (const auto& it : vms_) {
      AwaitKeyed(*it, kKey, 503);
      CPPUNIT_ASSERT_EQUAL(503, CallWithKey(*it, "/p/", "wrong"));
      CPPUNIT_ASSERT_EQUAL(200, CallWithKey(*it, "/open/", ""));
    }
    loop_->Post([this] {
      for (const auto& it : vms_) {
        it->store_proxy->is_blocked = false;
      }
    });
    for (const auto& it : vms_) {
      AwaitKeyed(*it, kKey, 200);
    }
  }

  void TestCustomerAboveAllotmentIsRefused() {
    Configure(2, {kKey}, kRate);
    int refused = 0;
    while (refused == 0) {
      const int status = CallWithKey(*vms_[1], "/p/", kKey);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                             status == 200 || status == 429);
      refused += status == 429 ? 1 : 0;
    }
    // Another customer, and calls without a key, are served as before.
    CPPUNIT_ASSERT_EQUAL(200, CallWithKey(*vms_[1], "/open/", ""));
  }

  // The store loses the last version, shows the one before it for a moment, and
  // gives out the lost revisions again.
  void TestStoreThatComesBackOlderUndoesNothing() {
    loop_->Post([this] { store_->TakeCopy(); });
    Configure(2, {kOtherKey});
    for (const auto& it : vms_) {
      AwaitKeyed(*it, kKey, 401);
    }
    loop_->Post([this] { store_->ComeBackFromCopy(); });
    AwaitKey("cumin/contacts/vm0");
    for (const auto& it : vms_) {
      // 503 while the new era is young.
      CPPUNIT_ASSERT(CallWithKey(*it, "/p/", kKey) != 200);
      CPPUNIT_ASSERT_EQUAL(2, Metric(*it, "cumin_config_version"));
    }
    Configure(2, {kOtherKey});
    Configure(3, {kKey});
    for (const auto& it : vms_) {
      AwaitKeyed(*it, kOtherKey, 401);
      AwaitKeyed(*it, kKey, 200);
    }
  }

 private:
  void Configure(int version, const std::vector<std::string>& keys,
                 int rate = 0) {
    test::RouteText open{"open", "/open/", "idempotent", "svc"};
    open.is_public = true;
    SetConfiguration(test::MakeConfigurationText(
        version, {{"r", "/p/", "idempotent", "svc"}, open}, 100000,
        {{"customer", keys, rate}}));
  }

  int CallWithKey(const Vm& vm, const std::string& path,
                  const std::string& key) {
    HttpRequest request;
    request.path = path;
    request.headers.Set("Host", "shop.example");
    request.headers.Set(kAttempt, "attempt-" + std::to_string(next_attempt_++));
    request.headers.Set("X-Deadline-Ms", "5000");
    request.headers.Set("X-Tenant", "forged");
    if (!key.empty()) {
      request.headers.Set("Authorization", "Token " + key);
    }
    return Send(vm.addresses.callers, request).status;
  }

  void AwaitKeyed(const Vm& vm, const std::string& key, int status) {
    while (CallWithKey(vm, "/p/", key) != status) {
      Pause();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerKeysTest);

}  // namespace

}  // namespace cumin::platform

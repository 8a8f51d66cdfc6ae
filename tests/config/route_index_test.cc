#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "cumin_config/config_snapshot.h"
#include "support/property.h"

namespace cumin {

namespace {

/** Reference implementation: the longest pattern that equals the path, or that
    ends in '/' and is a prefix of the path. */
const Operation* LongestMatch(const Mesh& mesh, const std::string& method,
                              const std::string& path) {
  const Operation* best = nullptr;
  for (const Service& service : mesh.services) {
    for (const Operation& it : service.operations) {
      const bool prefix = it.path.back() == '/' && path.rfind(it.path, 0) == 0;
      const bool longer = best == nullptr || it.path.size() > best->path.size();
      if (it.method == method && (prefix || it.path == path) && longer) {
        best = &it;
      }
    }
  }
  return best;
}

std::string RandomPath() {
  std::string path = "/";
  const int n = *rc::gen::inRange(0, 4);
  for (int i = 0; i < n; ++i) {
    path += *rc::gen::element<std::string>("a", "b", "a/", "b/", "ab/", "//");
  }
  return path;
}

class RouteIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteIndexTest);
  CPPUNIT_TEST(TestIndexFindsTheLongestMatch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestIndexFindsTheLongestMatch() {
    test::CheckProperty("the index finds the longest match", [] {
      Mesh mesh;
      Service service;
      service.name = ServiceId("s");
      std::set<std::string> used;
      const int n = *rc::gen::inRange(0, 6);
      for (int i = 0; i < n; ++i) {
        Operation operation;
        operation.name = OperationId("op-" + std::to_string(i));
        operation.method = *rc::gen::element<std::string>("GET", "POST");
        operation.path = RandomPath();
        if (used.insert(operation.method + operation.path).second) {
          service.operations.push_back(operation);
        }
      }
      mesh.services.push_back(service);
      const auto snapshot = ConfigSnapshot::Make(1, "d", mesh, {}).value();
      const std::string path = RandomPath();
      const RouteMatch match = snapshot->FindRoute("GET", path);
      const Operation* expected = LongestMatch(mesh, "GET", path);
      const bool same_presence =
          (match.operation == nullptr) == (expected == nullptr);
      RC_ASSERT(same_presence);
      if (expected != nullptr) {
        const bool same_operation = *match.operation == *expected;
        RC_ASSERT(same_operation);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteIndexTest);

}  // namespace

}  // namespace cumin

#include "cumin_core/yaml_object.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cumin {

namespace {

class YamlObjectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(YamlObjectTest);
  CPPUNIT_TEST(TestReadsFields);
  CPPUNIT_TEST(TestErrorGivesLineFieldAndRange);
  CPPUNIT_TEST(TestRefusesUnknownField);
  CPPUNIT_TEST(TestReportsMalformedYaml);
  CPPUNIT_TEST(TestRefusesOverflow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReadsFields() {
    YamlObject root = YamlObject::Parse("a: 3\nb: {c: word}\n", "f.yaml");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, root.RequiredInt("a", 0, 9));
    YamlObject child = root.Object("b");
    CPPUNIT_ASSERT_EQUAL(std::string("word"), child.RequiredString("c"));
    root.Absorb(child);
    CPPUNIT_ASSERT(root.Finish().has_value());
  }

  void TestErrorGivesLineFieldAndRange() {
    YamlObject root = YamlObject::Parse("x: 1\na: -4\n", "f.yaml");
    root.Int("x", 0, 0, 9);
    root.Int("a", 0, 0, 9);
    CPPUNIT_ASSERT_EQUAL(
        std::string("f.yaml:2: a: must be a whole number from 0 to 9"),
        Describe(root.Finish().error()));
  }

  void TestRefusesUnknownField() {
    YamlObject root = YamlObject::Parse("a: {zz: 1}\n", "f.yaml");
    YamlObject child = root.Object("a");
    root.Absorb(child);
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml:1: a.zz: unknown field"),
                         Describe(root.Finish().error()));
  }

  void TestReportsMalformedYaml() {
    YamlObject root = YamlObject::Parse("a: [1, 2\nb: }", "f.yaml");
    root.Int("a", 0, 0, 9);
    const Error error = root.Finish().error();
    CPPUNIT_ASSERT_EQUAL(std::string("f.yaml"), error.source);
    CPPUNIT_ASSERT(error.line > 0);
  }

  void TestRefusesOverflow() {
    YamlObject root = YamlObject::Parse("a: 99999999999999999999\n", "f.yaml");
    root.Int("a", 0, 0, 9);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), root.Finish().error().field);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(YamlObjectTest);

}  // namespace

}  // namespace cumin

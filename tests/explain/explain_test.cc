#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cuminctl/explain_command.h"

namespace cumin {

namespace {

/** From a real daemon log: the call spent its whole deadline on connecting to
    an unreachable VM. Parenthesized because each line consists of several
    literals. */
const std::vector<std::string> kLines = {
    (R"(2.02 vm-2 {"at":1400,"vm":"vm-2","event":"ingress-answered",)"
     R"("status":503,"id":"4e42","after_ms":400})"),
    (R"({"at":1000,"vm":"vm-2","event":"ingress-accepted","route":"r-1",)"
     R"("service":"catalogue","priority":2,"wanted_in_ms":-688,"version":4,)"
     R"("left_ms":401,"id":"4e42","after_ms":0})"),
    (R"({"at":1399,"vm":"vm-2","event":"peer-failed","peer":"10.4.0.18:7020",)"
     R"("end":"not-sent","reason":"cannot connect: timeout","id":"4e42"})"),
    (R"({"at":1400,"vm":"vm-2","event":"tried","target":"vm-9",)"
     R"("verdict":"not-run","reason":"peer-unreachable","detail":"cannot )"
     R"(connect: timeout","id":"4e42","after_ms":400})"),
    (R"({"at":1000,"vm":"vm-3","event":"ingress-accepted","id":"4e42.other"})"),
    (R"({"at":1000,"vm":"vm-3","id":"4e42)")};

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(TestSentencesAreChronologicalAndDecidingFailureIsFound);
  CPPUNIT_TEST(TestSuccessHasNoDecidingFailure);
  CPPUNIT_TEST(TestUnknownAttempt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSentencesAreChronologicalAndDecidingFailureIsFound() {
    std::vector<std::string> lines = kLines;
    // Lines with equal timestamps must keep their order in the log.
    std::rotate(lines.begin(), lines.begin() + 1, lines.begin() + 4);
    const Explanation explanation = ExplainAttempt(lines, "4e42");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, explanation.sentences.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("+0 ms vm-2 accepted the call on route r-1 of version 4 "
                    "for service catalogue, 401 ms left"),
        explanation.sentences[0]);
    CPPUNIT_ASSERT_EQUAL(2, explanation.deciding);
    CPPUNIT_ASSERT_EQUAL(
        std::string("+400 ms vm-2 tried the target beside vm-9: not-run "
                    "(peer-unreachable, cannot connect: timeout)"),
        explanation.sentences[2]);
    CPPUNIT_ASSERT_EQUAL(
        std::string("+400 ms vm-2 responded to the caller with "
                    "status 503"),
        explanation.sentences[3]);
    CPPUNIT_ASSERT_EQUAL(1, explanation.unreadable);
  }

  void TestSuccessHasNoDecidingFailure() {
    std::vector<std::string> lines = kLines;
    lines[0].replace(lines[0].find("503"), 3, "200");
    CPPUNIT_ASSERT_EQUAL(-1, ExplainAttempt(lines, "4e42").deciding);
  }

  void TestUnknownAttempt() {
    CPPUNIT_ASSERT(ExplainAttempt(kLines, "ffff").sentences.empty());
    CPPUNIT_ASSERT(ExplainAttempt({}, "4e42").sentences.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace

}  // namespace cumin

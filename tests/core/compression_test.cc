#include "cumin_core/compression.h"

#include "support/property.h"

namespace cumin {

namespace {

constexpr std::size_t kMaxBytes = 100000;

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestRepetitiveTextIsCompressed);
  CPPUNIT_TEST(TestTruncatedOrExtendedStreamIsRejected);
  CPPUNIT_TEST(TestTextOverSizeLimitIsRejected);
  CPPUNIT_TEST(TestArbitraryBytesGiveBoundedTextOrError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRoundTrip() {
    test::CheckProperty("compression round trip", [](const std::string& text) {
      const auto read = Decompress(Compress(text), kMaxBytes, "t");
      RC_ASSERT(read);
      RC_ASSERT(read.value() == text);
    });
  }

  void TestRepetitiveTextIsCompressed() {
    std::string text;
    while (text.size() < kMaxBytes / 2) {
      text += "{\"n\":\"r" + std::to_string(text.size()) + "\",\"k\":0}";
    }
    CPPUNIT_ASSERT(Compress(text).size() < text.size() / 4);
  }

  void TestTruncatedOrExtendedStreamIsRejected() {
    const std::string whole = Compress("route route route route");
    for (std::size_t n = 0; n < whole.size(); ++n) {
      CPPUNIT_ASSERT(!Decompress(whole.substr(0, n), kMaxBytes, "t"));
    }
    CPPUNIT_ASSERT(!Decompress(whole + "x", kMaxBytes, "t"));
  }

  void TestTextOverSizeLimitIsRejected() {
    const std::string bytes = Compress(std::string(kMaxBytes + 1, 'x'));
    CPPUNIT_ASSERT(!Decompress(bytes, kMaxBytes, "t"));
    CPPUNIT_ASSERT(Decompress(bytes, kMaxBytes + 1, "t"));
  }

  void TestArbitraryBytesGiveBoundedTextOrError() {
    test::CheckProperty("any bytes", [](const std::string& bytes) {
      const auto read = Decompress(bytes, kMaxBytes, "t");
      // RC_ASSERT does not short-circuit ||.
      const bool is_bounded = !read || read.value().size() <= kMaxBytes;
      RC_ASSERT(is_bounded);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

}  // namespace

}  // namespace cumin

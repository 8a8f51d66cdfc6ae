#include "cumin_core/digest.h"

#include <openssl/evp.h>

#include <array>

namespace cumin {

namespace {

constexpr std::size_t kDigestBytes = 32;
using DigestBytes = std::array<unsigned char, kDigestBytes>;

DigestBytes Sha256(const std::string& bytes) {
  DigestBytes digest{};
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return digest;
}

}  // namespace

std::string Sha256Hex(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * kDigestBytes);
  for (const unsigned char it : Sha256(bytes)) {
    text += kDigits[it >> 4U];
    text += kDigits[it & 0x0fU];
  }
  return text;
}

}  // namespace cumin

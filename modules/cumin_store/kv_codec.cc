#include "cumin_store/kv_codec.h"

#include <openssl/evp.h>

#include <cctype>
#include <charconv>
#include <cstring>
#include <utility>

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr std::size_t kBase64GroupChars = 4;
constexpr std::size_t kBase64GroupBytes = 3;

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

bool DecodeEntry(const Json::Value& value, StoreEntry* out) {
  if (!value.isObject() || !value["Key"].isString() ||
      !value["ModifyIndex"].isUInt64()) {
    return false;
  }
  out->key = value["Key"].asString();
  out->modify_index = value["ModifyIndex"].asUInt64();
  const Json::Value& lease = value["Session"];
  if (!lease.isNull() && !lease.isString()) {
    return false;
  }
  out->lease = lease.asString();
  const Json::Value& bytes = value["Value"];
  if (bytes.isNull()) {
    return true;
  }
  return bytes.isString() && DecodeBase64(bytes.asString(), &out->value);
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  const std::size_t groups =
      (bytes.size() + kBase64GroupBytes - 1) / kBase64GroupBytes;
  // EVP_EncodeBlock() writes a terminating NUL, which std::string has room for.
  std::string text(groups * kBase64GroupChars, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), Bytes(bytes),
                  static_cast<int>(bytes.size()));
  return text;
}

bool DecodeBase64(const std::string& text, std::string* out) {
  if (text.size() % kBase64GroupChars != 0) {
    return false;
  }
  if (text.empty()) {
    out->clear();
    return true;
  }
  std::string bytes(text.size() / kBase64GroupChars * kBase64GroupBytes, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                Bytes(text), static_cast<int>(text.size()));
  if (n < 0) {
    return false;
  }
  // EVP_DecodeBlock() counts the padding as decoded bytes.
  std::size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(n) - padding);
  *out = std::move(bytes);
  return true;
}

std::string EncodeUrlPath(const std::string& key) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string text;
  for (const char it : key) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 || std::strchr("/-._~", it) != nullptr) {
      text += it;
      continue;
    }
    text += '%';
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

Result<std::vector<StoreEntry>> DecodeKvEntries(const std::string& text,
                                                const std::string& source) {
  const Result<Json::Value> values = ParseJson(text, source);
  if (!values || !values.value().isArray()) {
    return Error{ErrorCode::kProtocol, source, 0, "",
                 "the answer is not a JSON list of keys"};
  }
  std::vector<StoreEntry> entries;
  for (const Json::Value& it : values.value()) {
    StoreEntry entry;
    if (!DecodeEntry(it, &entry)) {
      return Error{ErrorCode::kProtocol, source, 0, "",
                   "an entry of the answer lacks Key, ModifyIndex or a base64 "
                   "Value"};
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool ParseKvIndex(const std::string& text, std::uint64_t* out) {
  std::uint64_t index = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, index);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  *out = index;
  return true;
}

}  // namespace cumin

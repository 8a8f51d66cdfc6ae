#include "cumin_core/compression.h"

#include <zlib.h>

#include <algorithm>

namespace cumin {

namespace {

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

Bytef* AsBytes(const std::string& text) {
  // zlib takes its input through a non-const pointer but does not modify it.
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

}  // namespace

std::string Compress(const std::string& text) {
  uLongf n = compressBound(text.size());
  std::string bytes(n, '\0');
  // Only a lack of memory or a too small buffer can make this fail;
  // compressBound excludes the second, and the first throws above.
  (void)compress2(AsBytes(bytes), &n, AsBytes(text), text.size(),
                  Z_DEFAULT_COMPRESSION);
  bytes.resize(n);
  return bytes;
}

Result<std::string> Decompress(const std::string& bytes, std::size_t max_bytes,
                               const std::string& source) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Error{ErrorCode::kInvalid, source, 0, "",
                 "cannot initialize zlib decompression"};
  }
  stream.next_in = AsBytes(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  int status = Z_OK;
  while (status == Z_OK && text.size() <= max_bytes) {
    const std::size_t done = text.size();
    text.resize(done + std::min(kChunkBytes, max_bytes + 1 - done));
    stream.next_out = AsBytes(text) + done;
    stream.avail_out = static_cast<uInt>(text.size() - done);
    status = inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  const bool has_trailing_bytes = stream.avail_in > 0;
  inflateEnd(&stream);
  if (text.size() > max_bytes) {
    return Error{ErrorCode::kInvalid, source, 0, "",
                 "is longer than " + std::to_string(max_bytes) + " bytes"};
  }
  if (status != Z_STREAM_END || has_trailing_bytes) {
    return Error{ErrorCode::kInvalid, source, 0, "",
                 "is not exactly one complete zlib stream"};
  }
  return text;
}

}  // namespace cumin

#pragma once

#include <cstddef>
#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** @param text  any bytes
    @returns the bytes compressed in the zlib format (RFC 1950) */
std::string Compress(const std::string& text);

/** Decompresses data in the zlib format.
    @param bytes      one complete stream
    @param max_bytes  size limit of the decompressed text
    @param source     named in errors
    @returns the text, or kInvalid when the stream is corrupt, truncated,
    followed by more bytes, or larger than max_bytes when decompressed */
Result<std::string> Decompress(const std::string& bytes, std::size_t max_bytes,
                               const std::string& source);

}  // namespace cumin

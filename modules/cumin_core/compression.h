#pragma once

#include <cstddef>
#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** @param text  any bytes
    @returns them in the zlib format (RFC 1950) */
std::string Compress(const std::string& text);

/** Reads bytes in the zlib format.
    @param bytes      one whole stream
    @param max_bytes  of the text
    @param source     named in errors
    @returns the text, or kInvalid when the stream is damaged, cut, followed by
    more bytes, or longer than max_bytes when read */
Result<std::string> Decompress(const std::string& bytes, std::size_t max_bytes,
                               const std::string& source);

}  // namespace cumin

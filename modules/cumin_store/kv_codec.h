#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_store/store.h"

namespace cumin {

/** @returns the bytes in base64 with padding, on one line */
std::string EncodeBase64(const std::string& bytes);

/** Decodes base64 with padding.
    @param text      one line
    @param[out] out  set only on success
    @returns false when the text is not base64 */
bool DecodeBase64(const std::string& text, std::string* out);

/** @returns the key with every byte percent-encoded but '/' and the unreserved
    ones */
std::string EncodeUrlPath(const std::string& key);

/** Decodes the JSON array of a KV read.
    @param text    the body
    @param source  the store's address, for errors
    @returns the entries, or kProtocol when a part is missing or malformed */
Result<std::vector<StoreEntry>> DecodeKvEntries(const std::string& text,
                                                const std::string& source);

/** Parses an index.
    @param text      decimal digits
    @param[out] out  set only on success
    @returns false when the text is not a 64-bit number */
bool ParseKvIndex(const std::string& text, std::uint64_t* out);

}  // namespace cumin

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_store/store.h"

namespace cumin {

/** Encodes bytes as base64 with padding, without line breaks. */
std::string EncodeBase64(const std::string& bytes);

/** Decodes base64 with padding.
    @param text      base64 without line breaks
    @param[out] out  set only on success
    @returns false when the text is not base64 */
bool DecodeBase64(const std::string& text, std::string* out);

/** Percent-encodes every byte except '/' and the unreserved characters. */
std::string EncodeUrlPath(const std::string& key);

/** Parses the JSON array that a KV read returns.
    @param text    the response body
    @param source  the store's address, for error messages
    @returns the entries, or kProtocol when a part is missing or malformed */
Result<std::vector<StoreEntry>> DecodeKvEntries(const std::string& text,
                                                const std::string& source);

/** Parses a store index.
    @param text      decimal digits
    @param[out] out  set only on success
    @returns false when the text is not a 64-bit number */
bool ParseKvIndex(const std::string& text, std::uint64_t* out);

}  // namespace cumin

/** Hashes, random bytes and encodings. */
#ifndef SRC_TEXT_FUNC_H_
#define SRC_TEXT_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dogwood {

/** Returns the SHA-256 of `data` as 64 lower-case hex digits. */
auto Sha256Hex(std::string_view data) -> std::string;

/** Returns the HMAC-SHA256 of `data` with `key` as 32 raw bytes. */
auto HmacSha256(std::string_view key, std::string_view data) -> std::string;

/** Compares two strings in a time that does not depend on their contents, only
 * on their lengths. */
auto EqualInConstantTime(std::string_view a, std::string_view b) -> bool;

/** Returns `size` bytes of the cryptographic random generator. Throws
 * std::runtime_error if it fails. */
auto RandomBytes(std::size_t size) -> std::string;

/** Encodes `bytes` as lower-case hex digits. */
auto ToHex(std::string_view bytes) -> std::string;

/** Returns a 64-bit hash (FNV-1a with a final mix). It must stay the same on
 * every host and in every version, because rendezvous hashing and partitions
 * depend on it. */
auto StableHash(std::string_view data) -> std::uint64_t;

}  // namespace dogwood

#endif  // SRC_TEXT_FUNC_H_

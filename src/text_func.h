/** Hashes, random names and encodings. */
#ifndef SRC_TEXT_FUNC_H_
#define SRC_TEXT_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dogwood {

/** SHA-256 of `data` as 64 lower-case hex digits. */
auto Sha256Hex(std::string_view data) -> std::string;

/** HMAC-SHA256 of `data` under `key`, 32 raw bytes. */
auto HmacSha256(std::string_view key, std::string_view data) -> std::string;

/** Compares in time that does not depend on the contents. */
auto EqualInConstantTime(std::string_view a, std::string_view b) -> bool;

/** `size` bytes from the system's random source. */
auto RandomBytes(std::size_t size) -> std::string;

/** Lower-case hex digits of `bytes`. */
auto ToHex(std::string_view bytes) -> std::string;

/** 64-bit hash, the same on every machine and in every version (FNV-1a with a
 * final mix); for rendezvous hashing and partitions. */
auto StableHash(std::string_view data) -> std::uint64_t;

}  // namespace dogwood

#endif  // SRC_TEXT_FUNC_H_

#include "src/text_func.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>

namespace dogwood {
namespace {

/** Returns the text as the unsigned bytes that OpenSSL expects. */
auto Bytes(std::string_view text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

auto ToHex(std::string_view bytes) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

auto Sha256Hex(std::string_view data) -> std::string {
  std::array<char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(Bytes(data), data.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return ToHex({digest.data(), digest.size()});
}

auto HmacSha256(std::string_view key, std::string_view data) -> std::string {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data),
       data.size(), reinterpret_cast<unsigned char*>(digest.data()), nullptr);
  return digest;
}

auto EqualInConstantTime(std::string_view a, std::string_view b) -> bool {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

auto RandomBytes(std::size_t size) -> std::string {
  std::string bytes(size, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(size)) != 1) {
    throw std::runtime_error("the system's random source failed");
  }
  return bytes;
}

auto StableHash(std::string_view data) -> std::uint64_t {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  auto hash = kOffsetBasis;
  for (const unsigned char byte : data) {
    hash = (hash ^ byte) * kPrime;
  }
  // Final mix: in FNV-1a alone the last bytes hardly affect the high bits.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace dogwood

#include "core/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace filbertgw {

namespace internal {

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        result.push_back(digits[bytes[i] >> 4U]);
        result.push_back(digits[bytes[i] & 15U]);
    }
    return result;
}

} // namespace internal

std::string hmacSha256(const std::string &key, const std::string &message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(message.data()),
         message.size(),
         digest.data(),
         &size);
    return internal::toHex(digest.data(), size);
}

std::string sha256(const std::string &message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(message.data(), message.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return internal::toHex(digest.data(), size);
}

bool equalConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace filbertgw

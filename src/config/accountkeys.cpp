#include "config/accountkeys.h"

#include "core/digest.h"

namespace filbertgw {

namespace internal {

constexpr std::size_t maxBearerBytes = 512;

/** \brief Compared for an unknown account, so that the response time doesn't reveal whether an account exists. */
const std::vector<std::string> &placeholderHashes()
{
    static const std::vector<std::string> hashes{"0000000000000000$" + std::string(64, '0')};
    return hashes;
}

bool matchesAny(const std::vector<std::string> &hashes, const std::string &key)
{
    bool matches = false;
    for (const std::string &hash : hashes) {
        const std::string salt = hash.substr(0, hash.find('$'));
        const bool equal = equalConstantTime(saltedKeyHash(salt, key), hash);
        matches = matches || equal;
    }
    return matches;
}

} // namespace internal

std::string saltedKeyHash(const std::string &salt, const std::string &key)
{
    return salt + "$" + sha256(salt + key);
}

Result<AccountId> authenticate(const ConfigSection &config, const std::string &bearerKey)
{
    const Failure refused{FailureType::Unauthenticated, true, "the bearer key is not valid", Duration(0)};
    const std::size_t separator = bearerKey.rfind('.');
    if (bearerKey.size() > internal::maxBearerBytes || separator == std::string::npos) {
        return boost::leaf::new_error(refused);
    }
    const auto account = config.accounts_.find(AccountId(bearerKey.substr(0, separator)));
    const bool known = account != config.accounts_.end();
    const bool matches =
        internal::matchesAny(known ? account->second.saltedKeyHashes_ : internal::placeholderHashes(), bearerKey);
    if (!known || !matches) {
        return boost::leaf::new_error(refused);
    }
    return account->first;
}

} // namespace filbertgw

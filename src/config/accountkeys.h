#ifndef FILBERTGW_CONFIG_ACCOUNTKEYS_H
#define FILBERTGW_CONFIG_ACCOUNTKEYS_H

#include "config/configsection.h"
#include "core/failure.h"

#include <string>

namespace filbertgw {

/**
 * \brief The form in which an account record holds a key: "salt$sha256(salt + key)", in lower-case hexadecimal.
 * \param salt at least 8 hexadecimal digits; hashed as this text.
 */
std::string saltedKeyHash(const std::string &salt, const std::string &key);

/**
 * \brief The account of a bearer key "ACCOUNT.SECRET", or a failure of type unauthenticated.
 *
 * The account's name leads to its salts, so that one request costs a few hashes however many accounts there are. The
 * whole bearer key is hashed. The running time doesn't depend on which hash matches, nor on whether the account exists.
 */
Result<AccountId> authenticate(const ConfigSection &config, const std::string &bearerKey);

} // namespace filbertgw

#endif

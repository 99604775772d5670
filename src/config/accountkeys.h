#ifndef FILBERTGW_CONFIG_ACCOUNTKEYS_H
#define FILBERTGW_CONFIG_ACCOUNTKEYS_H

#include "config/configsection.h"
#include "core/failure.h"

#include <string>

namespace filbertgw {

/**
 * \brief The stored form of an account key: "salt$sha256(salt + key)", in lower-case hexadecimal.
 * \param salt at least 8 hexadecimal digits; hashed as text, not decoded.
 */
std::string saltedKeyHash(const std::string &salt, const std::string &key);

/**
 * \brief Returns the account of a bearer key "ACCOUNT.SECRET", or a failure of type unauthenticated.
 *
 * The salts are looked up by the account's name, so a request costs a few hashes however many accounts there are. The
 * whole bearer key is hashed. The running time depends neither on which hash matches nor on whether the account exists.
 */
Result<AccountId> authenticate(const ConfigSection &config, const std::string &bearerKey);

} // namespace filbertgw

#endif

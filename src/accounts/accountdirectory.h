#ifndef FILBERTGW_ACCOUNTS_ACCOUNTDIRECTORY_H
#define FILBERTGW_ACCOUNTS_ACCOUNTDIRECTORY_H

#include "accounts/clientaccount.h"
#include "core/failure.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/**
 * \brief The client accounts of one version of the configuration, found by key or by name.
 *
 * Keys are kept as SHA-256 digests only, so that no dump of a node's state can contain one.
 */
class AccountDirectory
{
public:
    /** \brief Checks the accounts. \return an InvalidRequest failure that names every fault. */
    static Result<AccountDirectory> build(std::vector<ClientAccount> accounts);

    /** \brief True if an account may have this key. */
    static bool isKey(const std::string &key);
    /** \brief The account that holds a key, or null. */
    const ClientAccount *findByKey(const std::string &key) const;
    const ClientAccount *findByName(const std::string &name) const;
    const std::map<std::string, ClientAccount> &accounts() const;

private:
    std::map<std::string, ClientAccount> accounts_; ///< By name, without keys.
    std::unordered_map<std::string, std::string> namesByDigest_;
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_NODE_AUTHENTICATOR_H
#define FILBERTGW_NODE_AUTHENTICATOR_H

#include "blackboard/blackboard.h"
#include "core/ids.h"
#include "net/httptypes.h"

#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertgw {

/**
 * \brief Finds the account of a bearer key by the salted hashes of the configuration.
 *
 * A key of the form `ACCOUNT.REST` is checked against that account only. Other keys are checked against every account,
 * and the result is kept in a bounded cache, because that takes a hash for each account.
 */
class Authenticator
{
public:
    Authenticator(const Blackboard &blackboard, std::vector<std::string> operatorKeys);

    /** \brief The account that a request's key belongs to. */
    std::optional<AccountId> accountOf(const HttpRequest &request);
    /** \brief True if the request carries an operator's key. */
    bool isOperator(const HttpRequest &request) const;
    /** \brief The bearer key of a request, empty if it has none. */
    static std::string bearerKey(const HttpRequest &request);

private:
    std::optional<AccountId> find(const std::string &key) const;
    void remember(const std::string &digest, const std::optional<AccountId> &account);

    const Blackboard &blackboard_;
    std::vector<std::string> operatorKeys_;
    std::uint64_t configOffset_ = 0; ///< Configuration that the cache is valid for.
    std::unordered_map<std::string, std::optional<AccountId>> cache_; ///< By SHA-256 of the key.
    std::list<std::string> order_; ///< Oldest first.
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_NODE_AUTHENTICATOR_H
#define FILBERTGW_NODE_AUTHENTICATOR_H

#include "blackboard/blackboard.h"
#include "core/ids.h"
#include "net/httptypes.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Identifies the sender of a request by its bearer key: an account of the configuration, or an operator. */
class Authenticator
{
public:
    Authenticator(const Blackboard &blackboard, std::vector<std::string> operatorKeys);

    /** \brief The account that a request's key belongs to; nothing if the key is not valid. */
    std::optional<AccountId> accountOf(const HttpRequest &request) const;
    /** \brief True if the request carries an operator's key. */
    bool isOperator(const HttpRequest &request) const;
    /** \brief The bearer key of a request, empty if it has none. */
    static std::string bearerKey(const HttpRequest &request);

private:
    const Blackboard &blackboard_;
    std::vector<std::string> operatorKeys_;
};

} // namespace filbertgw

#endif

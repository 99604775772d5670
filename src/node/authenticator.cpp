#include "node/authenticator.h"

#include "config/accountkeys.h"
#include "config/configsection.h"
#include "core/digest.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace filbertgw {
Authenticator::Authenticator(const Blackboard &blackboard, std::vector<std::string> operatorKeys)
    : blackboard_(blackboard)
    , operatorKeys_(std::move(operatorKeys))
{
}

std::string Authenticator::bearerKey(const HttpRequest &request)
{
    const std::string scheme = "Bearer ";
    const auto found = request.headers_.find("authorization");
    if (found == request.headers_.end() || found->second.compare(0, scheme.size(), scheme) != 0) {
        return {};
    }
    return found->second.substr(scheme.size());
}

bool Authenticator::isOperator(const HttpRequest &request) const
{
    const std::string key = bearerKey(request);
    bool found = false;
    for (const std::string &accepted : operatorKeys_) {
        found = equalConstantTime(key, accepted) || found;
    }
    return found && !key.empty();
}

std::optional<AccountId> Authenticator::accountOf(const HttpRequest &request) const
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<AccountId>> {
            BOOST_LEAF_AUTO(account, authenticate(blackboard_.read<ConfigSection>(), bearerKey(request)));
            return std::optional<AccountId>(account);
        },
        [] { return std::optional<AccountId>(); });
}

} // namespace filbertgw

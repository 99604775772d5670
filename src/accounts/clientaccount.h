#ifndef FILBERTGW_ACCOUNTS_CLIENTACCOUNT_H
#define FILBERTGW_ACCOUNTS_CLIENTACCOUNT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A client account of the operators' configuration. */
struct ClientAccount
{
    std::string name_;
    std::vector<std::string> keys_; ///< Only used to build the AccountDirectory, which keeps digests of them.
    std::optional<std::uint32_t> priority_; ///< Takes precedence over the route's priority; 0 is the highest.
    double requestsPerSecond_ = 0.0; ///< Quota over all nodes; 0 for no limit.
    double burst_ = 0.0; ///< Requests that the quota allows at once, in addition to its rate.

    bool hasQuota() const
    {
        return requestsPerSecond_ > 0.0;
    }
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_ACCOUNTS_ACCOUNTLABELS_H
#define FILBERTGW_ACCOUNTS_ACCOUNTLABELS_H

#include <cstddef>
#include <string>
#include <unordered_set>

namespace filbertgw {

/**
 * \brief Labels of accounts in metrics, a bounded number of them.
 *
 * The first accounts that send requests to this node get a label of their own and keep it until the node restarts. The
 * largest accounts send first, so that with Zipf-like sizes the labels cover most requests.
 */
class AccountLabels
{
public:
    explicit AccountLabels(std::size_t maxLabels);

    /** \return "none" without an account, "other" for accounts beyond the limit; fit for a quoted label value. */
    std::string labelOf(const std::string &account);

private:
    std::size_t maxLabels_;
    std::unordered_set<std::string> labels_;
};

} // namespace filbertgw

#endif

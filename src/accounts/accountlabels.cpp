#include "accounts/accountlabels.h"

#include <algorithm>

namespace filbertgw {

AccountLabels::AccountLabels(std::size_t maxLabels)
    : maxLabels_(maxLabels)
{
}

std::string AccountLabels::labelOf(const std::string &account)
{
    if (account.empty()) {
        return "none";
    }
    if (labels_.count(account) == 0 && labels_.size() >= maxLabels_) {
        return "other";
    }
    labels_.insert(account);
    std::string label = account;
    // These would end the value, or begin an escape sequence, in the text format of the metrics.
    std::replace_if(
        label.begin(), label.end(), [](char c) { return c == '"' || c == '\\'; }, '_');
    return label;
}

} // namespace filbertgw

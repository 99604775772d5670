#include "core/boundedlabels.h"

#include <algorithm>
#include <utility>

namespace filbertgw {

BoundedLabels::BoundedLabels(std::string name, std::size_t max)
    : name_(std::move(name))
    , max_(max)
{
}

std::string BoundedLabels::labelOf(const std::string &value)
{
    if (values_.size() < max_) {
        values_.insert(value);
    }
    std::string text = values_.count(value) != 0 ? value : "other";
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == '"' || c == '\\' || c == '\n'; }, '_');
    return name_ + "=\"" + text + '"';
}

} // namespace filbertgw

#ifndef FILBERTGW_CORE_BOUNDEDLABELS_H
#define FILBERTGW_CORE_BOUNDEDLABELS_H

#include <cstddef>
#include <string>
#include <unordered_set>

namespace filbertgw {

/** \brief Labels of a metric with a limited number of values: the first ones are kept, all others become "other". */
class BoundedLabels
{
public:
    BoundedLabels(std::string name, std::size_t max);

    /** \brief Label `name="value"`; characters that would need escaping are replaced. \sa Metrics */
    std::string labelOf(const std::string &value);

private:
    std::string name_;
    std::size_t max_;
    std::unordered_set<std::string> values_;
};

} // namespace filbertgw

#endif

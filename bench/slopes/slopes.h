#ifndef FILBERTGW_BENCH_SLOPES_SLOPES_H
#define FILBERTGW_BENCH_SLOPES_SLOPES_H

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace filbertgw::bench {

/** \brief Prints one JSON line. \sa SlopeSet */
using Emit = std::function<void(const nlohmann::json &line)>;

/**
 * \brief Registers a module's slope measurements; one static object in each file of this folder.
 *
 * A line has at least `slope`, `size` (what it was measured at) and one of `bytes`, `ns`, `bytes_per_s`, `per_s`.
 */
class SlopeSet
{
public:
    SlopeSet(const std::string &name, std::function<void(const Emit &)> measure);
};

/** \brief Bytes of heap in use by this process, as malloc counts them. */
std::size_t heapBytes();

} // namespace filbertgw::bench

#endif

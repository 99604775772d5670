#ifndef FILBERTGW_CORE_METRICS_H
#define FILBERTGW_CORE_METRICS_H

#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace filbertgw {

/**
 * \brief Counters, gauges and histograms of a node, with output in the Prometheus text format.
 *
 * A label is one `name="value"` pair. Its value has to come from a fixed set, never from a request, so that the number
 * of series is bounded.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void count(const std::string &name, const std::string &label = {}, std::uint64_t amount = 1);
    void gauge(const std::string &name, double value);
    /** \brief Adds a duration to a histogram in seconds, with buckets from 1 ms to about 17 min. */
    void observe(const std::string &name, Duration value);
    /** \brief All metrics in the Prometheus text format 0.0.4; every name gets the prefix `filbertgw_`. */
    std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace filbertgw

#endif

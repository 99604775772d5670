#ifndef FILBERTGW_POLICY_CONCURRENCYLIMITER_H
#define FILBERTGW_POLICY_CONCURRENCYLIMITER_H

#include "core/ids.h"
#include "core/time.h"

#include <unordered_map>

namespace filbertgw {

/** \brief Bounds of an endpoint's adaptive limit. */
struct LimitBounds
{
    double min_ = 1;
    double max_ = 256;
};

/**
 * \brief Adapts each endpoint's limit of calls by the gradient of its latency.
 *
 * The limit shrinks in proportion to how much the latency exceeds what is expected without a queue, and otherwise
 * grows by its square root. For engines the latency is that of the first token and the limit counts all streams.
 */
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(bool enabled);

    double limit(const EndpointId &endpoint, const LimitBounds &bounds) const;
    /** \brief A call that was sent while `load` calls were there took `seconds` instead of `expectedSeconds`. */
    void onSample(
        const EndpointId &endpoint, const LimitBounds &bounds, double load, double seconds, double expectedSeconds);
    /** \brief Latency expected without a queue, learned from samples; 0 if none. */
    double baselineSeconds(const EndpointId &endpoint) const;
    void forget(const EndpointId &endpoint);

private:
    struct Record
    {
        double limit_ = 0;
        double baselineSeconds_ = 0;
    };
    bool enabled_;
    std::unordered_map<EndpointId, Record> records_;
};

} // namespace filbertgw

#endif

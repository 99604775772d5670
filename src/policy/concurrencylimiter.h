#ifndef FILBERTGW_POLICY_CONCURRENCYLIMITER_H
#define FILBERTGW_POLICY_CONCURRENCYLIMITER_H

#include "core/ids.h"
#include "core/time.h"

#include <unordered_map>

namespace filbertgw {

/** \brief Bounds of an endpoint's adaptive concurrency limit, in calls or streams. */
struct LimitBounds
{
    double min_ = 1;
    double max_ = 256;
};

/**
 * \brief Adapts the concurrency limit of each endpoint to the gradient of its latency.
 *
 * The limit shrinks in proportion to how far the latency exceeds the latency without queueing, and otherwise grows by
 * its square root. For engines, the latency is the time to first token and the limit counts all streams.
 */
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(bool enabled);

    double limit(const EndpointId &endpoint, const LimitBounds &bounds) const;
    /**
     * \brief Updates the limit with the latency of one call.
     * \param load calls or streams at the endpoint when the call was sent.
     * \param expectedSeconds latency without queueing; 0 to use baselineSeconds().
     */
    void onSample(
        const EndpointId &endpoint, const LimitBounds &bounds, double load, double seconds, double expectedSeconds);
    /** \brief Latency without queueing, learned from samples; 0 if there are none. */
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

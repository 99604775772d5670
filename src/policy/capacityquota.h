#ifndef FILBERTGW_POLICY_CAPACITYQUOTA_H
#define FILBERTGW_POLICY_CAPACITYQUOTA_H

#include "policy/endpointtracker.h"

namespace filbertgw {

/**
 * \brief This node's quota of the free capacity that engines report.
 *
 * All nodes see the same delayed report. If each of them used all of the free capacity, they would together overload
 * the engine that appears least loaded. So each node uses only its share, rounded randomly, until the next report.
 */
class CapacityQuota
{
public:
    CapacityQuota(const EndpointTracker &endpoints, RandomSource random, std::function<std::int32_t()> liveNodes);

    /** \brief Renews the quota of the endpoint from its latest load report. */
    void onReport(const EndpointId &endpoint);
    /** \brief True if this node may start one more new program on the engine. */
    bool canStart(const EndpointState &endpoint) const;
    /** \brief True if this node may move one more running program to the engine. */
    bool canMove(const EndpointState &endpoint) const;
    /** \brief Mean number of streams per engine, smoothed over the recent reports. */
    double meanStreams() const
    {
        return meanStreams_;
    }
    /** \brief Maximum number of streams of an engine, from the last engine that reported. */
    double maxStreams() const
    {
        return maxStreams_;
    }
    void consumeStart(const EndpointId &endpoint);
    void consumeMove(const EndpointId &endpoint);

private:
    struct Quota
    {
        std::int32_t starts_ = 0;
        std::int32_t moves_ = 0;
    };
    /** \brief This node's share of the free streams, rounded up with a probability equal to its fraction. */
    std::int32_t shareOf(double freeStreams);

    const EndpointTracker &endpoints_;
    RandomSource random_;
    std::function<std::int32_t()> liveNodes_;
    std::unordered_map<EndpointId, Quota> quotas_;
    double maxStreams_ = 24;
    double meanStreams_ = 0;
};

} // namespace filbertgw

#endif

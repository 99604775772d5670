#ifndef FILBERTGW_POLICY_CAPACITYQUOTA_H
#define FILBERTGW_POLICY_CAPACITYQUOTA_H

#include "policy/endpointtracker.h"

namespace filbertgw {

/**
 * \brief This node's part of the room that engines' reports show.
 *
 * All nodes see the same late report. If each used all the room in it, they would together send many times too much to
 * the engine that looks emptiest. So each node takes its part only, rounded at random, until the next report.
 */
class CapacityQuota
{
public:
    CapacityQuota(const EndpointTracker &endpoints, RandomSource random, std::function<std::int32_t()> liveNodes);

    void onReport(const EndpointId &endpoint);
    /** \brief True if this node may start one more new program on the engine. */
    bool canStart(const EndpointState &endpoint) const;
    /** \brief True if this node may move one more program in progress to the engine. */
    bool canMove(const EndpointState &endpoint) const;
    /** \brief Mean streams of the engines, by the reports of the last seconds. */
    double meanStreams() const
    {
        return meanStreams_;
    }
    /** \brief Streams that an engine runs at most. */
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
    std::int32_t shareOf(double freeStreams);

    const EndpointTracker &endpoints_;
    RandomSource random_;
    std::function<std::int32_t()> liveNodes_;
    std::unordered_map<EndpointId, Quota> quotas_;
    double maxStreams_ = 24;
    double meanStreams_ = 0; ///< Over the reports of the last seconds.
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_POLICY_ENDPOINTTRACKER_H
#define FILBERTGW_POLICY_ENDPOINTTRACKER_H

#include "blackboard/blackboard.h"
#include "policy/enginecosts.h"
#include "policy/mechanism.h"
#include "policy/policysections.h"

namespace filbertgw {

/**
 * \brief Estimates the current load and memory of endpoints from delayed reports and this node's own calls.
 *
 * The calls that this node had in flight when a report was measured are subtracted from the reported load, and the
 * calls that it has in flight now are added. Writes EndpointSection.
 */
class EndpointTracker
{
public:
    EndpointTracker(Blackboard &blackboard, const EngineCosts &costs, bool useCommitments, Clock now);

    void setEndpoints(const std::vector<EndpointInfo> &endpoints);
    void onLoadReport(const LoadReport &report);
    void onHealth(const EndpointId &endpoint, bool healthy);
    /** \brief An attempt was sent that has to compute `uncachedTokens` of its prompt. */
    void onSent(const EndpointId &endpoint, std::uint64_t commitment, std::int64_t uncachedTokens);
    void onFirstToken(const EndpointId &endpoint, std::uint64_t commitment);
    void onEnded(const EndpointId &endpoint, std::uint64_t commitment);
    /** \brief A call or an order of this node made the engine's cache grow or shrink by `tokens`. */
    void onMemoryChange(const EndpointId &endpoint, std::int64_t tokens);

    const EndpointState *find(const EndpointId &endpoint) const;
    /** \brief Estimate of the running and waiting streams now. */
    double streams(const EndpointState &endpoint) const;
    /** \brief Streams expected over the next minute, from the number of live programs on the engine. */
    double expectedStreams(const EndpointState &endpoint) const;
    /** \brief Estimate of the prompt tokens that wait for prefill now. */
    double waitingTokens(const EndpointState &endpoint) const;
    /** \brief Estimate of the KV memory in use now, in tokens. */
    double usedTokens(const EndpointState &endpoint) const;

private:
    EndpointState *findState(const EndpointId &endpoint);
    /** \brief Adds the endpoint to the load index under its current score. */
    void index(EndpointState &endpoint);
    /** \brief Removes the endpoint from the load index; required before anything changes its score. */
    void unindex(EndpointState &endpoint);
    void rebuildTargets();
    void removeExpired(EndpointState &endpoint) const;

    EndpointSection &section_;
    EngineCosts costs_;
    bool useCommitments_;
    Clock now_;
    double streamsPerProgram_ = 0.5; ///< Mean ratio of streams to live programs, from load reports.
};

} // namespace filbertgw

#endif

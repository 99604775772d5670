#ifndef FILBERTGW_POLICY_ENDPOINTTRACKER_H
#define FILBERTGW_POLICY_ENDPOINTTRACKER_H

#include "blackboard/blackboard.h"
#include "policy/enginecosts.h"
#include "policy/mechanism.h"
#include "policy/policysections.h"

namespace filbertgw {

/**
 * \brief Predicts the load and memory of endpoints from late reports and what this node has sent since.
 *
 * Of a report's load, the part that this node had in flight when it was measured is replaced by what the node has in
 * flight now. Writes EndpointSection.
 */
class EndpointTracker
{
public:
    EndpointTracker(Blackboard &blackboard, const EngineCosts &costs, bool useCommitments, Clock now);

    void setEndpoints(const std::vector<EndpointInfo> &endpoints);
    void onLoadReport(const LoadReport &report);
    void onHealth(const EndpointId &endpoint, bool healthy);
    void onSent(const EndpointId &endpoint, std::uint64_t commitment, std::int64_t uncachedTokens);
    void onFirstToken(const EndpointId &endpoint, std::uint64_t commitment);
    void onEnded(const EndpointId &endpoint, std::uint64_t commitment);
    /** \brief This node has made the engine's cache grow or shrink. */
    void onMemoryChange(const EndpointId &endpoint, std::int64_t tokens);

    const EndpointState *find(const EndpointId &endpoint) const;
    /** \brief Running and waiting streams now. */
    double streams(const EndpointState &endpoint) const;
    /** \brief Streams to be expected over the next minute, from the programs that live on the engine. */
    double expectedStreams(const EndpointState &endpoint) const;
    /** \brief Prompt tokens that wait to be computed now. */
    double waitingTokens(const EndpointState &endpoint) const;
    double usedTokens(const EndpointState &endpoint) const;

private:
    EndpointState *findState(const EndpointId &endpoint);
    void index(EndpointState &endpoint);
    void unindex(EndpointState &endpoint);
    void rebuildTargets();
    void removeExpired(EndpointState &endpoint) const;

    EndpointSection &section_;
    EngineCosts costs_;
    bool useCommitments_;
    Clock now_;
    double streamsPerProgram_ = 0.5;
};

} // namespace filbertgw

#endif

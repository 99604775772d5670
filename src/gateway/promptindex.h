#ifndef FILBERTGW_GATEWAY_PROMPTINDEX_H
#define FILBERTGW_GATEWAY_PROMPTINDEX_H

#include "gateway/gatewaytypes.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief Number of an endpoint within a node; given again after the endpoint has gone. */
using EndpointNumber = std::uint32_t;

/** \brief Since when a part must have been used to be kept still. */
struct CacheCutoffs
{
    Time shared_{0}; ///< Parts that other prompts may begin with too.
    Time last_{0}; ///< The last part of a prompt.
};

/**
 * \brief Remembers on which endpoints the parts of prompts were read, and when they were used last.
 *
 * The parts are looked up once for all endpoints, so that a choice among hundreds of them hashes no more names than
 * one among few.
 */
class PromptIndex
{
public:
    explicit PromptIndex(std::size_t maxPartsPerEndpoint);

    /** \brief A request with this part was sent to the endpoint, which may keep a longer form of the part already. */
    void recordPrefill(EndpointNumber endpoint, const PromptPart &part, Time now);
    /** \brief The endpoint is reported to keep this part in this length. */
    void setCached(EndpointNumber endpoint, const PromptPart &part, Time now);
    /** \brief Notes that others are told of a part. \return false if they were told since the time given. */
    bool markAnnounced(EndpointNumber endpoint, const std::string &part, Time now, Time announcedSince);

    /** \brief Tokens of a prompt that each endpoint keeps, up to its first gap; by number, possibly for fewer. */
    std::vector<std::uint64_t> cachedTokens(const std::vector<PromptPart> &prompt, const CacheCutoffs &cutoffs) const;
    std::uint64_t
    cachedTokensOn(EndpointNumber endpoint, const std::vector<PromptPart> &prompt, const CacheCutoffs &cutoffs) const;

    void forget(EndpointNumber endpoint);
    std::size_t partsOf(EndpointNumber endpoint) const;
    /** \brief Different parts. */
    std::size_t size() const;

private:
    struct Entry
    {
        EndpointNumber endpoint_ = 0;
        Time lastUsed_{0};
        Time announcedAt_{0};
        std::uint64_t tokens_ = 0;
    };
    using Entries = std::vector<Entry>; ///< Of one part, in the order of the endpoints' numbers.
    using Parts = std::unordered_map<std::string, Entries>;

    static Entries::iterator lowerBound(Entries &entries, EndpointNumber endpoint);
    Entry &entry(EndpointNumber endpoint, const std::string &part);
    void erase(EndpointNumber endpoint, Parts::value_type &part);
    void evictOlderHalf(EndpointNumber endpoint);

    std::size_t maxPartsPerEndpoint_;
    Parts parts_;
    std::vector<std::vector<Parts::value_type *>> partsOf_; ///< Of each endpoint, by number.
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_PLACEMENT_PROMPTINDEX_H
#define FILBERTGW_PLACEMENT_PROMPTINDEX_H

#include "routing/gatewaytypes.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief Index of an endpoint within a node; reused after the endpoint was removed. */
using EndpointNumber = std::uint32_t;

/** \brief Parts last used before these times are assumed to be evicted. */
struct CacheCutoffs
{
    Time shared_{0}; ///< For all parts but the last, which other prompts may share.
    Time last_{0}; ///< For the last part of a prompt.
};

/**
 * \brief Index of the prompt parts that endpoints have cached and of their last use.
 *
 * Each part of a prompt is looked up once for all endpoints, so that the number of hash lookups for a choice of an
 * endpoint does not depend on the number of endpoints.
 */
class PromptIndex
{
public:
    explicit PromptIndex(std::size_t maxPartsPerEndpoint);

    /** \brief Records that a request with this part was sent to the endpoint. A longer cached version is kept. */
    void recordPrefill(EndpointNumber endpoint, const PromptPart &part, Time now);
    /** \brief Records a report that the endpoint has cached this part in this length. */
    void setCached(EndpointNumber endpoint, const PromptPart &part, Time now);
    /** \brief Records that a part is announced. \return false if it already was after \p announcedSince. */
    bool markAnnounced(EndpointNumber endpoint, const std::string &part, Time now, Time announcedSince);

    /**
     * \brief Length of the cached prefix of a prompt in tokens, by endpoint number.
     *
     * The result has no entries for the highest numbers if nothing is cached there.
     */
    std::vector<std::uint64_t> cachedTokens(const std::vector<PromptPart> &prompt, const CacheCutoffs &cutoffs) const;
    std::uint64_t
    cachedTokensOn(EndpointNumber endpoint, const std::vector<PromptPart> &prompt, const CacheCutoffs &cutoffs) const;

    void forget(EndpointNumber endpoint);
    std::size_t partsOf(EndpointNumber endpoint) const;
    /** \brief Number of distinct parts over all endpoints. */
    std::size_t size() const;

private:
    struct Entry
    {
        EndpointNumber endpoint_ = 0;
        Time lastUsed_{0};
        Time announcedAt_{0};
        std::uint64_t tokens_ = 0;
    };
    using Entries = std::vector<Entry>; ///< Of one part, sorted by endpoint number.
    using Parts = std::unordered_map<std::string, Entries>;

    static Entries::iterator lowerBound(Entries &entries, EndpointNumber endpoint);
    Entry &entry(EndpointNumber endpoint, const std::string &part);
    void erase(EndpointNumber endpoint, Parts::value_type &part);
    void evictOlderHalf(EndpointNumber endpoint);

    std::size_t maxPartsPerEndpoint_;
    Parts parts_;
    std::vector<std::vector<Parts::value_type *>> partsOf_; ///< By endpoint number.
};

} // namespace filbertgw

#endif

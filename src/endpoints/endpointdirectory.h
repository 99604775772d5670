#ifndef FILBERTGW_ENDPOINTS_ENDPOINTDIRECTORY_H
#define FILBERTGW_ENDPOINTS_ENDPOINTDIRECTORY_H

#include "endpoints/versionhistory.h"
#include "routing/gatewaytypes.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/**
 * \brief The registered endpoints, by service.
 *
 * Entries that expire during an outage of the registry are registered again soon after it if their endpoint is alive.
 * An entry that is removed shortly after the registry became reachable is therefore kept until a grace period has
 * passed.
 */
class EndpointDirectory
{
public:
    explicit EndpointDirectory(Clock now);

    /**
     * \brief Adds or replaces an entry, or confirms that it is still written.
     * \param writtenAfter a time after which the endpoint wrote it; 0 if none is known
     * \return true if the entry is new or has changed
     */
    bool update(const Endpoint &endpoint, Time writtenAfter = Time{0});
    void remove(const std::string &id);
    void setRegistryReachable(bool reachable);
    /** \brief Changes of the registry may have been missed: entries are read anew. */
    void registryReadAnew();
    /**
     * \brief An exchange with an endpoint failed: it may have ended and started again with other software.
     *
     * The doubt ends when its entry is written again by the same incarnation, or trust() is called.
     */
    void doubt(const Endpoint &endpoint);
    bool isInDoubt(const Endpoint &endpoint) const;
    /** \brief The endpoint itself has said that it is this incarnation. */
    void trust(const std::string &incarnation);
    /**
     * \brief An incarnation gets no further requests, whatever the registry says: it leaves, or has been replaced.
     *
     * \return true if this was not known.
     */
    bool retire(const std::string &incarnation);
    /** \brief Removes entries whose grace period has passed. \return their ids. */
    std::vector<std::string> expire();

    const Endpoint *find(const std::string &id) const;
    /** \brief The endpoint of an incarnation, or null if another one has its id now. */
    const Endpoint *findIncarnation(const std::string &incarnation) const;
    /** \brief The endpoint at an address that started last, or null. */
    const Endpoint *findAt(const std::string &address) const;
    /** \brief Endpoints of a service that are not draining and not retired. */
    const std::vector<const Endpoint *> &ready(const std::string &service) const;
    /** \brief The same of all services. */
    std::vector<Endpoint> allReady() const;
    std::size_t size() const;
    /** \brief Versions of a service that were registered within \p window. */
    ServiceVersions versionsOf(const std::string &service, Duration window) const;

    /** Time after the registry became reachable during which removed entries are kept. */
    static constexpr Duration removalGracePeriod{2'000'000};
    /** Time for which a retired incarnation is remembered after its entry was last there. */
    static constexpr Duration retiredMemory{600'000'000};

private:
    void expireRetired(Time now);
    void erase(const std::string &id);
    void rebuild();

    Clock now_;
    std::map<std::string, Endpoint> endpoints_;
    std::unordered_map<std::string, std::string> idsByAddress_; ///< Of the endpoint at each address that started last.
    std::unordered_map<std::string, Time> pendingRemovals_; ///< End of the grace period, by id.
    std::unordered_map<std::string, std::vector<const Endpoint *>> ready_;
    std::unordered_map<std::string, Time> retired_; ///< When the incarnation was last registered or was retired.
    std::unordered_map<std::string, Time> inDoubt_; ///< Time of the last failed exchange, by incarnation.
    VersionHistory versions_;
    bool reachable_ = false;
    Time reconnectedAt_{0};
};

} // namespace filbertgw

#endif

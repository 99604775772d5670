#ifndef FILBERTGW_GATEWAY_ENDPOINTDIRECTORY_H
#define FILBERTGW_GATEWAY_ENDPOINTDIRECTORY_H

#include "gateway/gatewaytypes.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/**
 * \brief The endpoints that are registered, by service.
 *
 * Entries that lapse while the registry is away come back soon after its return if their endpoint lives. So an entry
 * that vanishes shortly after the registry was regained is kept until that time is over.
 */
class EndpointDirectory
{
public:
    explicit EndpointDirectory(Clock now);

    /** \brief Adds or replaces an entry. \return true if anything but the time of the entry is new. */
    bool update(const Endpoint &endpoint);
    void remove(const std::string &id);
    void setRegistryReachable(bool reachable);
    /** \brief Removes entries whose time to come back is over. \return their ids. */
    std::vector<std::string> expire();

    const Endpoint *find(const std::string &id) const;
    /** \brief Endpoints of a service that take new work. */
    const std::vector<const Endpoint *> &ready(const std::string &service) const;
    std::size_t size() const;

    /** Time after the return of the registry in which entries come back. */
    static constexpr Duration removalGracePeriod{2'000'000};

private:
    void rebuild();

    Clock now_;
    std::map<std::string, Endpoint> endpoints_;
    std::unordered_map<std::string, Time> pendingRemovals_; ///< When entries that vanished are given up.
    std::unordered_map<std::string, std::vector<const Endpoint *>> ready_;
    bool reachable_ = false;
    Time reconnectedAt_{0};
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_ENDPOINTS_VERSIONHISTORY_H
#define FILBERTGW_ENDPOINTS_VERSIONHISTORY_H

#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief How many versions of a service a node has seen in the registry. */
enum class VersionCount : std::uint8_t {
    Unknown, ///< The node has not followed the registry for long enough.
    One,
    Several,
};

template<>
struct NameTable<VersionCount>
{
    static constexpr std::array<std::pair<VersionCount, std::string_view>, 3> entries{{
        {VersionCount::Unknown, "unknown"},
        {VersionCount::One, "one"},
        {VersionCount::Several, "several"},
    }};
};

/** \brief The versions of a service over some time. */
struct ServiceVersions
{
    VersionCount count_ = VersionCount::Unknown;
    std::string version_; ///< Set if there is one.
};

/** \brief Which versions of each service were registered, now and in the recent past. */
class VersionHistory
{
public:
    explicit VersionHistory(Clock now);

    void setFollowed(bool followed);
    /** \brief Changes of the registry may have been missed. */
    void restart();
    /** \brief An endpoint is listed in the registry. */
    void add(const std::string &service, const std::string &version);
    /** \brief An endpoint that was added is no longer listed. */
    void remove(const std::string &service, const std::string &version);
    /** \brief The versions that were listed at any time within \p window. */
    ServiceVersions versionsOf(const std::string &service, Duration window) const;

private:
    struct Listing
    {
        std::size_t endpoints_ = 0;
        Time lastListedAt_{0}; ///< Valid if endpoints_ is 0.
    };

    Clock now_;
    std::optional<Time> followedSince_;
    std::map<std::string, std::map<std::string, Listing>> services_; ///< By service and version.
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_PLACEMENT_ACCOUNTLOAD_H
#define FILBERTGW_PLACEMENT_ACCOUNTLOAD_H

#include <cstdint>
#include <string>

namespace filbertgw {

/** \brief Running requests of a client account at the endpoints of a service, as reported by a node or a group. */
struct AccountLoad
{
    /** Id of the entry that sums all accounts which are not in the list. */
    static constexpr std::uint32_t others = 0;

    std::string service_;
    std::uint32_t account_ = others; ///< \sa AccountAdmission::idOf
    std::uint32_t running_ = 0;
    std::uint32_t priority_ = 0; ///< 0 for the highest.
};

} // namespace filbertgw

#endif

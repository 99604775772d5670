#ifndef FILBERTGW_NODE_VMLIST_H
#define FILBERTGW_NODE_VMLIST_H

#include "membership/membershipsection.h"
#include "node/nodehooks.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Polls the platform's list of VMs. */
class VmList
{
public:
    struct Vm
    {
        std::string name_;
        std::string domain_;
        std::string address_;
        bool leaving_ = false;
        nlohmann::json fields_; ///< The whole entry.
    };
    using Received = std::function<void(const std::vector<Vm> &)>;

    /** \brief Polls `GET /vms` at an address; does nothing if the address is empty. */
    VmList(const NodeHooks &hooks, std::string address, Received received);
    void tick();

private:
    void applyList(const nlohmann::json &list);

    const NodeHooks &hooks_;
    std::string address_;
    Received received_;
    Time nextPollAt_{0};
    bool isPolling_ = false;
};

} // namespace filbertgw

#endif

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
    using Changed = std::function<void(const std::vector<Vm> &)>;

    /** \brief Polls `GET /vms` at an address; empty for no list. */
    VmList(const NodeHooks &hooks, std::string address, Changed received);
    void tick();

private:
    void take(const nlohmann::json &list);

    const NodeHooks &hooks_;
    std::string address_;
    Changed received_;
    Time next_{0};
    bool running_ = false;
};

} // namespace filbertgw

#endif

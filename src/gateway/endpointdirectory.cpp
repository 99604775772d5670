#include "gateway/endpointdirectory.h"

namespace filbertgw {

EndpointDirectory::EndpointDirectory(Clock now)
    : now_(std::move(now))
{
}

bool EndpointDirectory::update(const Endpoint &endpoint)
{
    vanishing_.erase(endpoint.id_);
    const auto known = endpoints_.find(endpoint.id_);
    if (known != endpoints_.end()) {
        const Endpoint &old = known->second;
        const bool same = old.service_ == endpoint.service_ && old.address_ == endpoint.address_
            && old.draining_ == endpoint.draining_ && old.slots_ == endpoint.slots_ && old.bornMs_ == endpoint.bornMs_
            && old.domain_ == endpoint.domain_;
        if (same) {
            return false;
        }
    }
    endpoints_[endpoint.id_] = endpoint;
    rebuild();
    return true;
}

void EndpointDirectory::remove(const std::string &id)
{
    const auto known = endpoints_.find(id);
    if (known == endpoints_.end()) {
        return;
    }
    const Time now = now_();
    if (!known->second.draining_ && now - regained_ < returnTime) {
        vanishing_.emplace(id, regained_ + returnTime);
        return;
    }
    vanishing_.erase(id);
    endpoints_.erase(known);
    rebuild();
}

void EndpointDirectory::setRegistryReachable(bool reachable)
{
    if (reachable && !reachable_) {
        regained_ = now_();
    }
    reachable_ = reachable;
}

std::vector<std::string> EndpointDirectory::expire()
{
    std::vector<std::string> gone;
    const Time now = now_();
    for (const std::pair<const std::string, Time> &entry : vanishing_) {
        if (entry.second <= now) {
            gone.push_back(entry.first);
        }
    }
    for (const std::string &id : gone) {
        vanishing_.erase(id);
        endpoints_.erase(id);
    }
    if (!gone.empty()) {
        rebuild();
    }
    return gone;
}

const Endpoint *EndpointDirectory::find(const std::string &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

const std::vector<const Endpoint *> &EndpointDirectory::ready(const std::string &service) const
{
    static const std::vector<const Endpoint *> none;
    const auto found = ready_.find(service);
    return found == ready_.end() ? none : found->second;
}

std::size_t EndpointDirectory::size() const
{
    return endpoints_.size();
}

void EndpointDirectory::rebuild()
{
    ready_.clear();
    for (const std::pair<const std::string, Endpoint> &entry : endpoints_) {
        if (!entry.second.draining_) {
            ready_[entry.second.service_].push_back(&entry.second);
        }
    }
}

} // namespace filbertgw

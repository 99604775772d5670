#include "endpoints/endpointdirectory.h"

#include <iterator>

namespace filbertgw {

EndpointDirectory::EndpointDirectory(Clock now)
    : now_(std::move(now))
    , versions_(now_)
{
}

bool EndpointDirectory::update(const Endpoint &endpoint, Time writtenAfter)
{
    pendingRemovals_.erase(endpoint.id_);
    const auto doubted = inDoubt_.find(endpoint.incarnation());
    if (doubted != inDoubt_.end() && writtenAfter >= doubted->second) {
        inDoubt_.erase(doubted);
    }
    const auto known = endpoints_.find(endpoint.id_);
    if (known != endpoints_.end()) {
        const Endpoint &old = known->second;
        const bool same = old.service_ == endpoint.service_ && old.address_ == endpoint.address_
            && old.draining_ == endpoint.draining_ && old.slots_ == endpoint.slots_
            && old.startedAtMs_ == endpoint.startedAtMs_ && old.domain_ == endpoint.domain_
            && old.version_ == endpoint.version_;
        if (same) {
            return false;
        }
        versions_.remove(old.service_, old.version_);
        inDoubt_.erase(old.incarnation());
    }
    versions_.add(endpoint.service_, endpoint.version_);
    endpoints_[endpoint.id_] = endpoint;
    const Endpoint *present = findAt(endpoint.address_);
    if (present == nullptr || present->startedAtMs_ <= endpoint.startedAtMs_) {
        idsByAddress_[endpoint.address_] = endpoint.id_;
    }
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
    if (!known->second.draining_ && now - reconnectedAt_ < removalGracePeriod) {
        pendingRemovals_.emplace(id, reconnectedAt_ + removalGracePeriod);
        return;
    }
    erase(id);
    rebuild();
}

void EndpointDirectory::setRegistryReachable(bool reachable)
{
    if (reachable && !reachable_) {
        reconnectedAt_ = now_();
    }
    reachable_ = reachable;
    versions_.setFollowed(reachable);
}

void EndpointDirectory::registryReadAnew()
{
    versions_.restart();
}

void EndpointDirectory::doubt(const Endpoint &endpoint)
{
    inDoubt_[endpoint.incarnation()] = now_();
}

void EndpointDirectory::trust(const std::string &incarnation)
{
    inDoubt_.erase(incarnation);
}

bool EndpointDirectory::isInDoubt(const Endpoint &endpoint) const
{
    return inDoubt_.count(endpoint.incarnation()) != 0;
}

bool EndpointDirectory::retire(const std::string &incarnation)
{
    if (!retired_.emplace(incarnation, now_()).second) {
        return false;
    }
    rebuild();
    return true;
}

std::vector<std::string> EndpointDirectory::expire()
{
    std::vector<std::string> removed;
    const Time now = now_();
    expireRetired(now);
    for (const std::pair<const std::string, Time> &entry : pendingRemovals_) {
        if (entry.second <= now) {
            removed.push_back(entry.first);
        }
    }
    for (const std::string &id : removed) {
        erase(id);
    }
    if (!removed.empty()) {
        rebuild();
    }
    return removed;
}

void EndpointDirectory::expireRetired(Time now)
{
    if (retired_.empty()) {
        return;
    }
    for (const std::pair<const std::string, Endpoint> &entry : endpoints_) {
        const auto retired = retired_.find(entry.second.incarnation());
        if (retired != retired_.end()) {
            retired->second = now;
        }
    }
    for (auto entry = retired_.begin(); entry != retired_.end();) {
        entry = now - entry->second > retiredMemory ? retired_.erase(entry) : std::next(entry);
    }
}

const Endpoint *EndpointDirectory::find(const std::string &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

const Endpoint *EndpointDirectory::findIncarnation(const std::string &incarnation) const
{
    const Endpoint *endpoint = find(incarnation.substr(0, incarnation.rfind('@')));
    return endpoint != nullptr && endpoint->incarnation() == incarnation ? endpoint : nullptr;
}

const Endpoint *EndpointDirectory::findAt(const std::string &address) const
{
    const auto found = idsByAddress_.find(address);
    return found == idsByAddress_.end() ? nullptr : find(found->second);
}

const std::vector<const Endpoint *> &EndpointDirectory::ready(const std::string &service) const
{
    static const std::vector<const Endpoint *> none;
    const auto found = ready_.find(service);
    return found == ready_.end() ? none : found->second;
}

std::vector<Endpoint> EndpointDirectory::allReady() const
{
    std::vector<Endpoint> endpoints;
    for (const std::pair<const std::string, std::vector<const Endpoint *>> &service : ready_) {
        for (const Endpoint *endpoint : service.second) {
            endpoints.push_back(*endpoint);
        }
    }
    return endpoints;
}

std::size_t EndpointDirectory::size() const
{
    return endpoints_.size();
}

void EndpointDirectory::erase(const std::string &id)
{
    pendingRemovals_.erase(id);
    const auto known = endpoints_.find(id);
    const auto at = idsByAddress_.find(known->second.address_);
    if (at != idsByAddress_.end() && at->second == id) {
        idsByAddress_.erase(at);
    }
    versions_.remove(known->second.service_, known->second.version_);
    inDoubt_.erase(known->second.incarnation());
    endpoints_.erase(known);
}

ServiceVersions EndpointDirectory::versionsOf(const std::string &service, Duration window) const
{
    return versions_.versionsOf(service, window);
}

void EndpointDirectory::rebuild()
{
    ready_.clear();
    for (const std::pair<const std::string, Endpoint> &entry : endpoints_) {
        if (!entry.second.draining_ && retired_.count(entry.second.incarnation()) == 0) {
            ready_[entry.second.service_].push_back(&entry.second);
        }
    }
}

} // namespace filbertgw

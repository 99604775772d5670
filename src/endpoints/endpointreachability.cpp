#include "endpoints/endpointreachability.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertgw {

struct EndpointReachability::Private : std::enable_shared_from_this<EndpointReachability::Private>
{
    void forgetOldFailures();
    bool isSuspicious(std::size_t silentEndpoints, std::size_t endpoints) const;
    std::vector<Endpoint> draw(std::vector<Endpoint> endpoints, std::size_t count) const;
    void probe(const std::vector<Endpoint> &endpoints);
    void probed(bool isReachable);
    void setCutOff(bool isCutOff);

    ReachabilityHooks hooks_;
    ReachabilitySettings settings_;
    std::map<std::string, Time> failures_; ///< Last failed connection, by endpoint.
    Time lastAnswerAt_{0};
    Time nextProbeAt_{0};
    std::size_t probesLeft_ = 0; ///< Of the round of probes under way.
    bool isRoundReachable_ = false; ///< A probe of that round has succeeded.
    bool isCutOff_ = false;
    bool stopped_ = false;
};

void EndpointReachability::Private::forgetOldFailures()
{
    const Time oldest = hooks_.now_() - settings_.failureMemory_;
    for (auto entry = failures_.begin(); entry != failures_.end();) {
        entry = entry->second < oldest ? failures_.erase(entry) : std::next(entry);
    }
}

bool EndpointReachability::Private::isSuspicious(std::size_t silentEndpoints, std::size_t endpoints) const
{
    const bool isSilent = silentEndpoints >= std::min(settings_.suspiciousSilences_, endpoints)
        && hooks_.now_() - lastAnswerAt_ >= settings_.silence_;
    return isSilent || failures_.size() >= std::min(settings_.suspiciousFailures_, endpoints);
}

/** Some of the endpoints, drawn at random. */
std::vector<Endpoint> EndpointReachability::Private::draw(std::vector<Endpoint> endpoints, std::size_t count) const
{
    count = std::min(count, endpoints.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(endpoints[i], endpoints[i + hooks_.random_() % (endpoints.size() - i)]);
    }
    endpoints.resize(count);
    return endpoints;
}

void EndpointReachability::Private::probe(const std::vector<Endpoint> &endpoints)
{
    probesLeft_ = endpoints.size();
    isRoundReachable_ = false;
    for (const Endpoint &endpoint : endpoints) {
        hooks_.probe_(endpoint, [self = shared_from_this()](bool isReachable) {
            if (!self->stopped_) {
                self->probed(isReachable);
            }
        });
    }
}

void EndpointReachability::Private::probed(bool isReachable)
{
    isRoundReachable_ = isRoundReachable_ || isReachable;
    if (isReachable) {
        failures_.clear();
        setCutOff(false);
    }
    if (--probesLeft_ > 0) {
        return;
    }
    nextProbeAt_ = hooks_.now_() + settings_.probePause_;
    if (!isRoundReachable_) {
        setCutOff(true);
    }
}

void EndpointReachability::Private::setCutOff(bool isCutOff)
{
    if (std::exchange(isCutOff_, isCutOff) != isCutOff) {
        hooks_.onChanged_(isCutOff);
    }
}

EndpointReachability::EndpointReachability(ReachabilityHooks hooks, ReachabilitySettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = settings;
}

EndpointReachability::~EndpointReachability()
{
    d_->stopped_ = true;
}

bool EndpointReachability::isCutOff() const
{
    return d_->isCutOff_;
}

void EndpointReachability::check(const Endpoint &suspect, const std::function<void(bool isPathUp)> &done)
{
    std::vector<Endpoint> others = d_->hooks_.endpoints_();
    const auto isSuspect = [&suspect](const Endpoint &other) { return other.address_ == suspect.address_; };
    others.erase(std::remove_if(others.begin(), others.end(), isSuspect), others.end());
    const std::vector<Endpoint> drawn = d_->draw(std::move(others), d_->settings_.checkedEndpoints_);
    if (drawn.empty()) {
        done(false);
        return;
    }
    struct Check
    {
        std::size_t left_ = 0;
        bool isPathUp_ = false;
    };
    const std::shared_ptr<Check> check = std::make_shared<Check>(Check{drawn.size(), false});
    for (const Endpoint &endpoint : drawn) {
        d_->hooks_.probe_(endpoint, [self = d_, check, done](bool isReachable) {
            check->isPathUp_ = check->isPathUp_ || isReachable;
            if (--check->left_ == 0 && !self->stopped_) {
                done(check->isPathUp_);
            }
        });
    }
}

void EndpointReachability::connectFailed(const std::string &endpoint)
{
    d_->failures_[endpoint] = d_->hooks_.now_();
}

void EndpointReachability::answered(const std::string &endpoint)
{
    d_->lastAnswerAt_ = d_->hooks_.now_();
    d_->failures_.erase(endpoint);
}

void EndpointReachability::update(std::size_t silentEndpoints)
{
    if (!d_->hooks_.probe_ || d_->probesLeft_ > 0 || d_->hooks_.now_() < d_->nextProbeAt_) {
        return;
    }
    d_->forgetOldFailures();
    const bool mayBeSuspicious = !d_->failures_.empty() || silentEndpoints > 0;
    if (!d_->isCutOff_ && !mayBeSuspicious) {
        return;
    }
    const std::vector<Endpoint> endpoints = d_->hooks_.endpoints_();
    if (!endpoints.empty() && (d_->isCutOff_ || d_->isSuspicious(silentEndpoints, endpoints.size()))) {
        d_->probe(d_->draw(endpoints, d_->settings_.probedEndpoints_));
    }
}

} // namespace filbertgw

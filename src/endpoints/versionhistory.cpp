#include "endpoints/versionhistory.h"

#include <iterator>

namespace filbertgw {

namespace internal {
namespace {

/** Versions that were listed longer ago are forgotten. */
constexpr Duration versionMemory{600'000'000};

} // namespace
} // namespace internal

VersionHistory::VersionHistory(Clock now)
    : now_(std::move(now))
{
}

void VersionHistory::setFollowed(bool followed)
{
    if (!followed) {
        followedSince_.reset();
    } else if (!followedSince_) {
        followedSince_ = now_();
    }
}

void VersionHistory::restart()
{
    if (followedSince_) {
        followedSince_ = now_();
    }
}

void VersionHistory::add(const std::string &service, const std::string &version)
{
    ++services_[service][version].endpoints_;
}

void VersionHistory::remove(const std::string &service, const std::string &version)
{
    const Time now = now_();
    std::map<std::string, Listing> &versions = services_[service];
    Listing &listing = versions[version];
    --listing.endpoints_;
    listing.lastListedAt_ = now;
    for (auto entry = versions.begin(); entry != versions.end();) {
        const bool isOld = entry->second.endpoints_ == 0 && now - entry->second.lastListedAt_ > internal::versionMemory;
        entry = isOld ? versions.erase(entry) : std::next(entry);
    }
}

ServiceVersions VersionHistory::versionsOf(const std::string &service, Duration window) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    const Time now = now_();
    std::size_t versions = 0;
    std::string version;
    for (const std::pair<const std::string, Listing> &entry : found->second) {
        if (entry.second.endpoints_ > 0 || now - entry.second.lastListedAt_ <= window) {
            ++versions;
            version = entry.first;
        }
    }
    if (versions > 1) {
        return {VersionCount::Several, {}};
    }
    const bool isFollowed = followedSince_ && now - *followedSince_ >= window;
    return versions == 1 && isFollowed ? ServiceVersions{VersionCount::One, version} : ServiceVersions();
}

} // namespace filbertgw

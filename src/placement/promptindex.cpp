#include "placement/promptindex.h"

#include "core/numbers.h"

#include <algorithm>

namespace filbertgw {

PromptIndex::PromptIndex(std::size_t maxPartsPerEndpoint)
    : maxPartsPerEndpoint_(maxPartsPerEndpoint)
{
}

PromptIndex::Entries::iterator PromptIndex::lowerBound(Entries &entries, EndpointNumber endpoint)
{
    return std::lower_bound(entries.begin(), entries.end(), endpoint, [](const Entry &entry, EndpointNumber number) {
        return entry.endpoint_ < number;
    });
}

PromptIndex::Entry &PromptIndex::entry(EndpointNumber endpoint, const std::string &part)
{
    const auto known = parts_.find(part);
    if (known != parts_.end()) {
        const auto found = lowerBound(known->second, endpoint);
        if (found != known->second.end() && found->endpoint_ == endpoint) {
            return *found;
        }
    }
    if (endpoint >= partsOf_.size()) {
        partsOf_.resize(endpoint + 1);
    }
    if (partsOf_[endpoint].size() >= maxPartsPerEndpoint_) {
        evictOlderHalf(endpoint);
    }
    Parts::value_type &added = *parts_.try_emplace(part).first;
    partsOf_[endpoint].push_back(&added);
    return *added.second.insert(lowerBound(added.second, endpoint), Entry{endpoint, Time{0}, Time{0}, 0});
}

void PromptIndex::recordPrefill(EndpointNumber endpoint, const PromptPart &part, Time now)
{
    Entry &cached = entry(endpoint, part.id_);
    cached.lastUsed_ = now;
    cached.tokens_ = std::max(cached.tokens_, part.tokens_);
}

void PromptIndex::setCached(EndpointNumber endpoint, const PromptPart &part, Time now)
{
    Entry &cached = entry(endpoint, part.id_);
    cached.lastUsed_ = now;
    cached.tokens_ = part.tokens_;
}

bool PromptIndex::markAnnounced(EndpointNumber endpoint, const std::string &part, Time now, Time announcedSince)
{
    Entry &cached = entry(endpoint, part);
    if (cached.announcedAt_ != Time{0} && cached.announcedAt_ > announcedSince) {
        return false;
    }
    cached.announcedAt_ = now;
    return true;
}

std::vector<std::uint64_t> PromptIndex::cachedTokens(const std::vector<PromptPart> &prompt,
                                                     const CacheCutoffs &cutoffs) const
{
    std::vector<std::uint64_t> tokens(partsOf_.size());
    std::vector<std::size_t> completeParts(partsOf_.size()); // Tokens after the first gap are not reused.
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        const auto known = parts_.find(prompt[i].id_);
        if (known == parts_.end()) {
            break;
        }
        const Time usedSince = i + 1 == prompt.size() ? cutoffs.last_ : cutoffs.shared_;
        for (const Entry &entry : known->second) {
            if (completeParts[entry.endpoint_] != i || entry.lastUsed_ < usedSince) {
                continue;
            }
            std::uint64_t &sum = tokens[entry.endpoint_];
            sum = saturatingSum(sum, std::min(entry.tokens_, prompt[i].tokens_));
            completeParts[entry.endpoint_] += entry.tokens_ >= prompt[i].tokens_ ? 1 : 0;
        }
    }
    return tokens;
}

std::uint64_t PromptIndex::cachedTokensOn(EndpointNumber endpoint,
                                          const std::vector<PromptPart> &prompt,
                                          const CacheCutoffs &cutoffs) const
{
    return endpoint < partsOf_.size() ? cachedTokens(prompt, cutoffs)[endpoint] : 0;
}

void PromptIndex::erase(EndpointNumber endpoint, Parts::value_type &part)
{
    part.second.erase(lowerBound(part.second, endpoint));
    if (part.second.empty()) {
        parts_.erase(parts_.find(part.first));
    }
}

void PromptIndex::forget(EndpointNumber endpoint)
{
    if (endpoint >= partsOf_.size()) {
        return;
    }
    for (Parts::value_type *part : partsOf_[endpoint]) {
        erase(endpoint, *part);
    }
    partsOf_[endpoint].clear();
}

/** Evicts the least recently used half of an endpoint's parts. */
void PromptIndex::evictOlderHalf(EndpointNumber endpoint)
{
    std::vector<Parts::value_type *> &parts = partsOf_[endpoint];
    const auto middle = parts.begin() + static_cast<std::ptrdiff_t>(parts.size() / 2);
    std::nth_element(parts.begin(), middle, parts.end(), [endpoint](Parts::value_type *a, Parts::value_type *b) {
        return lowerBound(a->second, endpoint)->lastUsed_ > lowerBound(b->second, endpoint)->lastUsed_;
    });
    for (auto part = middle; part != parts.end(); ++part) {
        erase(endpoint, **part);
    }
    parts.erase(middle, parts.end());
}

std::size_t PromptIndex::partsOf(EndpointNumber endpoint) const
{
    return endpoint < partsOf_.size() ? partsOf_[endpoint].size() : 0;
}

std::size_t PromptIndex::size() const
{
    return parts_.size();
}

} // namespace filbertgw

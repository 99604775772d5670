#include "gateway/promptindex.h"

#include "core/numbers.h"

#include <algorithm>

namespace filbertgw {

PromptIndex::PromptIndex(std::size_t partsPerEndpoint)
    : partsPerEndpoint_(partsPerEndpoint)
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
    if (partsOf_[endpoint].size() >= partsPerEndpoint_) {
        dropOlderHalf(endpoint);
    }
    Parts::value_type &added = *parts_.try_emplace(part).first;
    partsOf_[endpoint].push_back(&added);
    return *added.second.insert(lowerBound(added.second, endpoint), Entry{endpoint, Time{0}, Time{0}, 0});
}

void PromptIndex::noteRead(EndpointNumber endpoint, const PromptPart &part, Time now)
{
    Entry &read = entry(endpoint, part.id_);
    read.used_ = now;
    read.tokens_ = std::max(read.tokens_, part.tokens_);
}

void PromptIndex::noteKept(EndpointNumber endpoint, const PromptPart &part, Time now)
{
    Entry &kept = entry(endpoint, part.id_);
    kept.used_ = now;
    kept.tokens_ = part.tokens_;
}

bool PromptIndex::noteTold(EndpointNumber endpoint, const std::string &part, Time now, Time toldSince)
{
    Entry &told = entry(endpoint, part);
    if (told.told_ != Time{0} && told.told_ > toldSince) {
        return false;
    }
    told.told_ = now;
    return true;
}

std::vector<std::uint64_t> PromptIndex::kept(const std::vector<PromptPart> &prompt, const KeptSince &since) const
{
    std::vector<std::uint64_t> tokens(partsOf_.size());
    std::vector<std::size_t> wholeParts(partsOf_.size()); // An engine reads everything behind the first gap.
    for (std::size_t i = 0; i < prompt.size(); ++i) {
        const auto known = parts_.find(prompt[i].id_);
        if (known == parts_.end()) {
            break;
        }
        const Time usedSince = i + 1 == prompt.size() ? since.own_ : since.shared_;
        for (const Entry &entry : known->second) {
            if (wholeParts[entry.endpoint_] != i || entry.used_ < usedSince) {
                continue;
            }
            std::uint64_t &sum = tokens[entry.endpoint_];
            sum = saturatingSum(sum, std::min(entry.tokens_, prompt[i].tokens_));
            wholeParts[entry.endpoint_] += entry.tokens_ >= prompt[i].tokens_ ? 1 : 0;
        }
    }
    return tokens;
}

std::uint64_t
PromptIndex::keptOn(EndpointNumber endpoint, const std::vector<PromptPart> &prompt, const KeptSince &since) const
{
    return endpoint < partsOf_.size() ? kept(prompt, since)[endpoint] : 0;
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

/** Drops those of an endpoint's parts that were not used for longest. */
void PromptIndex::dropOlderHalf(EndpointNumber endpoint)
{
    std::vector<Parts::value_type *> &parts = partsOf_[endpoint];
    const auto middle = parts.begin() + static_cast<std::ptrdiff_t>(parts.size() / 2);
    std::nth_element(parts.begin(), middle, parts.end(), [endpoint](Parts::value_type *a, Parts::value_type *b) {
        return lowerBound(a->second, endpoint)->used_ > lowerBound(b->second, endpoint)->used_;
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

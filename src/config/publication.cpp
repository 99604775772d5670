#include "config/publication.h"

#include "config/configcontroller.h"

#include <algorithm>

namespace filbertgw {

namespace {

Offset offsetInForce(const ConfigSection &section, const nlohmann::json &draft)
{
    if (!draft.contains("kind") || !draft["kind"].is_string() || !draft.contains("name")
        || !draft["name"].is_string()) {
        return 0;
    }
    const auto found = section.inForce_.find(keyOf(draft));
    return found == section.inForce_.end() ? 0 : found->second;
}

} // namespace

Publication::Publication()
    : fold_(section_)
{
}

Publication::~Publication() = default;

Offset Publication::nextOffset() const
{
    return gapNext_ != 0 ? gapNext_ : section_.offset_ + 1;
}

void Publication::onPage(const LogPage &page)
{
    atEnd_ = page.entries_.empty();
    if (atEnd_) {
        fold_.foldAfterGap(gapEntries_);
        gapEntries_.clear();
        gapNext_ = 0;
        return;
    }
    if (gapNext_ == 0 && page.entries_.front().offset_ > nextOffset()) {
        gapNext_ = page.entries_.front().offset_;
    }
    for (const LogEntry &entry : page.entries_) {
        if (gapNext_ != 0) {
            gapEntries_.push_back(packEntry(entry));
            gapNext_ = entry.offset_ + 1;
        } else {
            recordOutcome(entry, fold_.fold(entry));
        }
    }
}

bool Publication::isAtEnd() const
{
    return atEnd_;
}

void Publication::recordOutcome(const LogEntry &entry, FoldResult result)
{
    if (!entry.body_.is_object() || !entry.body_.contains("id") || !entry.body_["id"].is_string()) {
        return;
    }
    if (result == FoldResult::Duplicate || result == FoldResult::Copy || result == FoldResult::Stale) {
        return;
    }
    PublicationOutcome outcome;
    outcome.result_ = result;
    outcome.offset_ = entry.offset_;
    if (const std::optional<RejectedRecord> rejected = fold_.rejectedAt(entry.offset_)) {
        outcome.detail_ = rejected->detail_;
    }
    outcomes_.emplace(RecordId(entry.body_["id"].get<std::string>()), outcome);
}

PreparedRecord Publication::prepare(nlohmann::json draft, const RecordId &freshId) const
{
    PreparedRecord prepared;
    if (draft.is_object()) {
        draft.emplace("schema", newestSchema);
        draft.emplace("id", freshId.value());
        draft.emplace("replaces", offsetInForce(section_, draft));
    }
    prepared.errors_ = validateRecord(draft);
    prepared.record_ = std::move(draft);
    return prepared;
}

std::optional<PublicationOutcome> Publication::outcome(const RecordId &id) const
{
    const auto found = outcomes_.find(id);
    return found == outcomes_.end() ? std::nullopt : std::optional<PublicationOutcome>(found->second);
}

const ConfigSection &Publication::section() const
{
    return section_;
}

PublicationProgress::PublicationProgress(Offset offset)
    : offset_(offset)
{
}

void PublicationProgress::onNodeState(const std::string &node, const nlohmann::json &state)
{
    const nlohmann::json::json_pointer pointer("/config/offset");
    const bool known = state.contains(pointer) && state[pointer].is_number_unsigned();
    nodes_[node] = known ? state[pointer].get<Offset>() : 0;
}

void PublicationProgress::onNodeUnreachable(const std::string &node)
{
    nodes_.emplace(node, 0);
}

std::size_t PublicationProgress::inForce() const
{
    return nodes_.size() - behind().size();
}

std::size_t PublicationProgress::nodes() const
{
    return nodes_.size();
}

bool PublicationProgress::isDone() const
{
    return !nodes_.empty() && behind().empty();
}

std::map<std::string, Offset> PublicationProgress::behind() const
{
    std::map<std::string, Offset> result;
    for (const std::pair<const std::string, Offset> &node : nodes_) {
        if (node.second < offset_) {
            result.insert(node);
        }
    }
    return result;
}

} // namespace filbertgw

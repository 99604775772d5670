#include "ledger/spendingtable.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const recordedByPeerMark = " v";

/** \brief Parses a number at the start of a text, after an optional space, and removes both. */
std::optional<std::uint64_t> parseNumber(std::string_view &text)
{
    if (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    std::uint64_t value = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return value;
}

} // namespace
} // namespace internal

std::string SpendingRecord::encode() const
{
    return std::to_string(tokens_) + ' ' + std::to_string(batch_) + ' ' + std::to_string(allowance_)
        + (recordedByPeer_ ? internal::recordedByPeerMark : "");
}

std::optional<SpendingRecord> SpendingRecord::decode(const std::string &value)
{
    std::string_view rest = value;
    const std::optional<std::uint64_t> tokens = internal::parseNumber(rest);
    const std::optional<std::uint64_t> batch = internal::parseNumber(rest);
    const std::optional<std::uint64_t> allowance = internal::parseNumber(rest);
    const bool recordedByPeer = rest == internal::recordedByPeerMark;
    if (!tokens || !batch || !allowance || (!rest.empty() && !recordedByPeer)) {
        return std::nullopt;
    }
    return SpendingRecord{*tokens, *batch, *allowance, recordedByPeer};
}

std::uint64_t SpendingTable::Program::totalOfOthers() const
{
    std::uint64_t sum = 0;
    for (const Writer &other : others_) {
        sum += other.spending_.tokens_;
    }
    return sum;
}

SpendingRecord SpendingTable::Program::record(std::uint64_t batch) const
{
    const std::uint64_t allowance = allowance_ + pendingAllowance_;
    return SpendingRecord{own_, batch, hasAllowance_ ? std::max(minRecordedAllowance, allowance) : allowance, false};
}

SpendingTable::SpendingTable(std::string ownWriter, Clock now)
    : ownWriter_(std::move(ownWriter))
    , now_(std::move(now))
{
}

const SpendingTable::Program *SpendingTable::find(const std::string &program) const
{
    const auto found = programs_.find(program);
    return found == programs_.end() ? nullptr : &found->second;
}

std::uint64_t SpendingTable::total(const std::string &program) const
{
    return own(program) + totalOfOthers(program);
}

std::uint64_t SpendingTable::totalOfOthers(const std::string &program) const
{
    const Program *found = find(program);
    return found == nullptr ? 0 : found->totalOfOthers();
}

std::uint64_t SpendingTable::own(const std::string &program) const
{
    const Program *found = find(program);
    return found == nullptr ? 0 : found->own_;
}

const SpendingTable::Writer *SpendingTable::findWriter(const std::string &program, const std::string &writer) const
{
    if (const Program *found = find(program)) {
        for (const Writer &other : found->others_) {
            if (other.spending_.writer_ == writer) {
                return &other;
            }
        }
    }
    return nullptr;
}

std::uint64_t SpendingTable::outageReserve(const std::string &program) const
{
    const Writer *reserve = findWriter(program, outageReserveWriter);
    return reserve == nullptr ? 0 : reserve->spending_.tokens_;
}

void SpendingTable::setOutageReserve(const std::string &program, std::uint64_t tokens)
{
    applyGrant(program, WriterSpending{outageReserveWriter, tokens, 0, 0, 1, 0});
}

std::optional<SpendingRecord> SpendingTable::unrecordedReserve(const std::string &program) const
{
    const Writer *reserve = findWriter(program, outageReserveWriter);
    if (reserve == nullptr || !reserve->hasUnrecordedGrant_) {
        return std::nullopt;
    }
    return SpendingRecord{reserve->spending_.tokens_, reserve->spending_.batch_, 0, true};
}

bool SpendingTable::isRecorded(const std::string &program) const
{
    const Program *found = find(program);
    if (found == nullptr) {
        return true;
    }
    const bool ownIsRecorded = !found->dirty_ && found->ownRecorded_ == found->own_;
    return ownIsRecorded && std::none_of(found->others_.begin(), found->others_.end(), [](const Writer &other) {
               return other.hasUnrecordedGrant_;
           });
}

std::vector<WriterSpending> SpendingTable::byWriter(const std::string &program)
{
    std::vector<WriterSpending> result;
    if (const Program *found = find(program)) {
        for (const Writer &other : found->others_) {
            result.push_back(other.spending_);
        }
        result.push_back(nextOwnSpending(program));
    }
    return result;
}

WriterSpending SpendingTable::nextOwnSpending(const std::string &program)
{
    const Program *found = find(program);
    return WriterSpending{
        ownWriter_, own(program), found == nullptr ? 0 : found->ownRecorded_, lastBatch_, ++ownVersion_};
}

void SpendingTable::addOwn(const std::string &program, std::uint64_t tokens)
{
    programs_[program].own_ += tokens;
    markDirty(program);
}

void SpendingTable::subtractOwn(const std::string &program, std::uint64_t tokens)
{
    Program &changed = programs_[program];
    changed.own_ -= std::min(tokens, changed.own_);
    markDirty(program);
}

void SpendingTable::markDirty(const std::string &program)
{
    Program &changed = programs_[program];
    changed.lastUse_ = now_();
    if (!changed.dirty_) {
        changed.dirty_ = true;
        dirty_.push_back(program);
    }
}

void SpendingTable::addPendingAllowance(const std::string &program, std::uint64_t tokens)
{
    addOwn(program, tokens);
    programs_[program].pendingAllowance_ += tokens;
}

void SpendingTable::resolvePendingAllowance(const std::string &program, std::uint64_t tokens, bool granted)
{
    Program &changed = programs_[program];
    changed.pendingAllowance_ -= std::min(tokens, changed.pendingAllowance_);
    if (granted) {
        changed.allowance_ += tokens;
        changed.hasAllowance_ = true;
    } else {
        subtractOwn(program, tokens);
    }
}

bool SpendingTable::hasPendingAllowance(const std::string &program) const
{
    const Program *found = find(program);
    return found != nullptr && found->pendingAllowance_ > 0;
}

bool SpendingTable::takeAllowance(const std::string &program, std::uint64_t tokens)
{
    const auto found = programs_.find(program);
    if (found == programs_.end() || found->second.allowance_ < tokens || tokens == 0) {
        return false;
    }
    found->second.allowance_ -= tokens;
    found->second.lastUse_ = now_();
    return true;
}

std::uint64_t SpendingTable::takeWholeAllowance(const std::string &program)
{
    const auto found = programs_.find(program);
    return found == programs_.end() ? 0 : std::exchange(found->second.allowance_, 0);
}

void SpendingTable::returnAllowance(const std::string &program, std::uint64_t tokens)
{
    if (tokens > 0) {
        programs_[program].allowance_ += tokens;
    }
}

void SpendingTable::settle(const std::string &program, std::uint64_t reserved, std::uint64_t used)
{
    Program &changed = programs_[program];
    if (used > reserved) {
        addOwn(program, used - reserved);
        return;
    }
    const std::uint64_t unused = reserved - used;
    if (changed.hasAllowance_ && !changed.dirty_ && changed.ownRecorded_ == changed.own_) {
        changed.allowance_ += unused;
        changed.lastUse_ = now_();
        return;
    }
    subtractOwn(program, unused);
}

void SpendingTable::releaseAllowances()
{
    for (std::pair<const std::string, Program> &entry : programs_) {
        entry.second.hasAllowance_ = false;
        if (entry.second.allowance_ > 0) {
            const std::uint64_t rest = entry.second.allowance_;
            entry.second.allowance_ = 0;
            subtractOwn(entry.first, rest);
        }
    }
}

std::vector<std::string> SpendingTable::allowanceHolders(const std::string &program, std::uint64_t tokens) const
{
    std::vector<std::pair<std::uint64_t, std::string>> holders;
    if (const Program *found = find(program)) {
        for (const Writer &other : found->others_) {
            if (other.spending_.allowance_ >= tokens) {
                holders.emplace_back(other.spending_.allowance_, other.spending_.writer_);
            }
        }
    }
    std::sort(holders.rbegin(), holders.rend());
    std::vector<std::string> names;
    for (const std::pair<std::uint64_t, std::string> &holder : holders) {
        names.push_back(holder.second);
    }
    return names;
}

bool SpendingTable::isDirty(const std::string &program) const
{
    const Program *found = find(program);
    return found != nullptr && found->dirty_;
}

const std::vector<std::string> &SpendingTable::dirty() const
{
    return dirty_;
}

std::vector<std::pair<std::string, SpendingRecord>> SpendingTable::takeDirty(std::size_t limit, std::uint64_t batch)
{
    lastBatch_ = batch;
    std::vector<std::pair<std::string, SpendingRecord>> taken;
    const std::size_t count = std::min(limit, dirty_.size());
    for (std::size_t i = 0; i < count; ++i) {
        Program &program = programs_[dirty_[i]];
        program.dirty_ = false;
        program.mayHaveOwnRecord_ = true;
        taken.emplace_back(dirty_[i], program.record(batch));
    }
    dirty_.erase(dirty_.begin(), dirty_.begin() + static_cast<std::ptrdiff_t>(count));
    return taken;
}

void SpendingTable::setOwnRecorded(const std::string &program, std::uint64_t tokens)
{
    const auto found = programs_.find(program);
    if (found != programs_.end()) {
        found->second.ownRecorded_ = tokens;
    }
}

/** Finds the entry of a writer for a program, or adds one without tokens. */
SpendingTable::Writer &SpendingTable::findOrAddWriter(const std::string &program, const std::string &writer)
{
    Program &changed = programs_[program];
    changed.lastUse_ = now_();
    for (Writer &other : changed.others_) {
        if (other.spending_.writer_ == writer) {
            return other;
        }
    }
    changed.others_.push_back(Writer{WriterSpending{writer, 0, 0, 0, 0, 0}, false});
    return changed.others_.back();
}

void SpendingTable::applyRecord(const std::string &program,
                                const std::string &writer,
                                const std::optional<SpendingRecord> &record)
{
    if (!record) {
        std::vector<Writer> &others = programs_[program].others_;
        others.erase(std::remove_if(others.begin(),
                                    others.end(),
                                    [&writer](const Writer &other) { return other.spending_.writer_ == writer; }),
                     others.end());
        return;
    }
    Writer &entry = findOrAddWriter(program, writer);
    // A record written before the grant does not include it, and can be read after it.
    const bool contains = record->batch_ > entry.spending_.batch_
        || (record->recordedByPeer_ && record->batch_ == entry.spending_.batch_);
    if (entry.hasUnrecordedGrant_ && !contains) {
        entry.spending_.recorded_ = std::max(entry.spending_.recorded_, record->tokens_);
        return;
    }
    entry.spending_.tokens_ = record->tokens_;
    entry.spending_.recorded_ = record->tokens_;
    entry.spending_.batch_ = record->batch_;
    entry.spending_.allowance_ = record->allowance_;
    entry.hasUnrecordedGrant_ = false;
}

void SpendingTable::applyGrant(const std::string &program, const WriterSpending &spending)
{
    if (spending.writer_ == ownWriter_) {
        return;
    }
    if (spending.writer_ == outageReserveWriter && outageReserve(program) >= spending.tokens_) {
        return; // It never changes, and may have been recorded since.
    }
    Writer &entry = findOrAddWriter(program, spending.writer_);
    const bool isRecorded = !entry.hasUnrecordedGrant_ && entry.spending_.batch_ > spending.batch_;
    // Reports of several nodes about one version of the writer's spending can differ by refused tokens.
    const bool isOlder = spending.version_ < entry.spending_.version_
        || (spending.version_ == entry.spending_.version_ && spending.tokens_ <= entry.spending_.tokens_);
    if (isRecorded || isOlder) {
        return;
    }
    if (!entry.hasUnrecordedGrant_ && entry.spending_.tokens_ == spending.tokens_) {
        entry.spending_.version_ = spending.version_; // The record that was read has the same total.
        return;
    }
    const std::uint64_t allowance = entry.spending_.allowance_;
    entry.spending_ = spending;
    entry.spending_.allowance_ = allowance;
    entry.hasUnrecordedGrant_ = true;
}

void SpendingTable::revokeGrant(const std::string &program, const WriterSpending &spending, std::uint64_t tokens)
{
    Writer &entry = findOrAddWriter(program, spending.writer_);
    if (entry.spending_.version_ == spending.version_) {
        entry.spending_.tokens_ -= std::min(tokens, entry.spending_.tokens_);
    }
}

std::vector<ProgramSpending> SpendingTable::unrecordedGrants() const
{
    std::vector<ProgramSpending> result;
    for (const std::pair<const std::string, Program> &entry : programs_) {
        for (const Writer &other : entry.second.others_) {
            if (other.hasUnrecordedGrant_) {
                result.push_back(ProgramSpending{entry.first, other.spending_});
            }
        }
    }
    return result;
}

std::vector<std::string> SpendingTable::removeIdle(Time oldest)
{
    std::vector<std::string> recorded;
    for (auto entry = programs_.begin(); entry != programs_.end();) {
        if (entry->second.lastUse_ >= oldest || entry->second.dirty_) {
            ++entry;
            continue;
        }
        if (entry->second.mayHaveOwnRecord_) {
            recorded.push_back(entry->first);
        }
        entry = programs_.erase(entry);
    }
    return recorded;
}

std::size_t SpendingTable::size() const
{
    return programs_.size();
}

} // namespace filbertgw

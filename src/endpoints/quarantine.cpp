#include "endpoints/quarantine.h"

#include "core/numbers.h"

#include <algorithm>
#include <tuple>

namespace filbertgw {

namespace internal {
namespace {

/** From this number of crashes on, other nodes are told that the request was answered. */
constexpr std::size_t crashesBeforeExcusesAreShared = 2;
/** One request in this many is dropped when there are too many. */
constexpr std::size_t shareDroppedAtOnce = 8;

} // namespace
} // namespace internal

Quarantine::Quarantine(QuarantineHooks hooks, QuarantineSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
{
}

std::size_t Quarantine::unexcused(const Suspect &suspect)
{
    return static_cast<std::size_t>(std::count_if(
        suspect.crashes_.begin(), suspect.crashes_.end(), [](const auto &crash) { return !crash.second.isExcused_; }));
}

bool Quarantine::add(const CrashRecord &record)
{
    if (suspects_.size() >= settings_.maxRequests_ && suspects_.count(record.request_) == 0) {
        evict();
    }
    Suspect &suspect = suspects_[record.request_];
    const auto inserted = suspect.crashes_.emplace(record.endpoint_, Crash());
    Crash &crash = inserted.first->second;
    const bool isNew = inserted.second || (record.isExcused_ && (!crash.isExcused_ || !crash.isShared_));
    if (!isNew) {
        return false;
    }
    if (record.isExcused_) {
        crash.isExcused_ = true;
        crash.isShared_ = true;
    }
    crash.isStored_ = false;
    crash.repairAt_ = nextRepair();
    suspect.updatedAt_ = hooks_.now_();
    announce(record);
    if (suspect.crashes_.size() >= internal::crashesBeforeExcusesAreShared) {
        shareExcuses(record.request_, suspect);
    }
    const bool wasQuarantined = suspect.isQuarantined_;
    suspect.isQuarantined_ = unexcused(suspect) >= settings_.crashLimit_;
    if (suspect.isQuarantined_ && !wasQuarantined) {
        suspect.trialAt_ = hooks_.now_() + settings_.trialDelay_;
        hooks_.onQuarantined_(record.request_);
    }
    return true;
}

void Quarantine::remove(const std::string &request, const std::string &endpoint)
{
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end()) {
        return;
    }
    suspect->second.crashes_.erase(endpoint);
    suspect->second.isQuarantined_ = unexcused(suspect->second) >= settings_.crashLimit_;
    if (suspect->second.crashes_.empty()) {
        suspects_.erase(suspect);
    }
}

void Quarantine::requestAnswered(const std::string &request)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) {
        return;
    }
    Suspect &suspect = found->second;
    for (std::pair<const std::string, Crash> &crash : suspect.crashes_) {
        if (!crash.second.isExcused_) {
            crash.second.isExcused_ = true;
            crash.second.isShared_ = false;
        }
    }
    suspect.isQuarantined_ = false;
    if (suspect.crashes_.size() >= internal::crashesBeforeExcusesAreShared) {
        shareExcuses(request, suspect);
    }
}

void Quarantine::shareExcuses(const std::string &request, Suspect &suspect)
{
    std::vector<CrashRecord> excused;
    for (std::pair<const std::string, Crash> &crash : suspect.crashes_) {
        if (!crash.second.isShared_) {
            crash.second.isShared_ = true;
            excused.push_back(CrashRecord{request, crash.first, true});
            announce(excused.back());
        }
    }
    if (!excused.empty()) {
        hooks_.onExcused_(excused);
    }
}

bool Quarantine::isEmpty() const
{
    return suspects_.empty();
}

bool Quarantine::isQuarantined(const std::string &request) const
{
    const auto suspect = suspects_.find(request);
    return suspect != suspects_.end() && suspect->second.isQuarantined_;
}

bool Quarantine::tryAgain(const std::string &request)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || !hooks_.isTrialNode_ || !hooks_.isTrialNode_(request)) {
        return false;
    }
    Suspect &suspect = found->second;
    if (suspect.wasTried_ || hooks_.now_() < suspect.trialAt_) {
        return false;
    }
    suspect.wasTried_ = true;
    return true;
}

std::size_t Quarantine::crashes(const std::string &request) const
{
    const auto suspect = suspects_.find(request);
    return suspect == suspects_.end() ? 0 : unexcused(suspect->second);
}

std::size_t Quarantine::requests() const
{
    return suspects_.size();
}

void Quarantine::announce(const CrashRecord &record)
{
    announcements_.push_back(Announcement{record, settings_.announcements_});
}

std::vector<CrashRecord> Quarantine::takeAnnouncements()
{
    std::vector<CrashRecord> records;
    const std::size_t count = std::min(announcements_.size(), settings_.maxAnnounced_);
    for (std::size_t i = 0; i < count; ++i) {
        Announcement next = std::move(announcements_.front());
        announcements_.pop_front();
        records.push_back(next.record_);
        if (--next.left_ > 0) {
            announcements_.push_back(std::move(next));
        }
    }
    return records;
}

void Quarantine::addStored(const CrashRecord &record)
{
    add(record);
    const auto suspect = suspects_.find(record.request_);
    if (suspect == suspects_.end()) {
        return;
    }
    Crash &crash = suspect->second.crashes_.at(record.endpoint_);
    crash.isStored_ = record.isExcused_ || !crash.isExcused_ || !crash.isShared_;
}

std::vector<CrashRecord> Quarantine::takeUnstored()
{
    std::vector<CrashRecord> records;
    for (std::pair<const std::string, Suspect> &suspect : suspects_) {
        for (std::pair<const std::string, Crash> &entry : suspect.second.crashes_) {
            Crash &crash = entry.second;
            if (!crash.isStored_ && crash.repairAt_ <= hooks_.now_()) {
                crash.repairAt_ = nextRepair();
                records.push_back(CrashRecord{suspect.first, entry.first, crash.isExcused_ && crash.isShared_});
            }
        }
    }
    return records;
}

/** Nodes repair at different times, so that most of them find the record stored by another one. */
Time Quarantine::nextRepair()
{
    const double delay = (1.0 + drawFrom(hooks_.random_)) * static_cast<double>(settings_.repairDelay_.count());
    return hooks_.now_() + Duration(static_cast<std::int64_t>(delay));
}

std::vector<CrashRecord> Quarantine::expire()
{
    std::vector<CrashRecord> expired;
    const Time limit = hooks_.now_() - settings_.lifetime_;
    for (const std::pair<const std::string, Suspect> &suspect : suspects_) {
        if (suspect.second.updatedAt_ > limit) {
            continue;
        }
        for (const std::pair<const std::string, Crash> &crash : suspect.second.crashes_) {
            expired.push_back(CrashRecord{suspect.first, crash.first, crash.second.isExcused_});
        }
    }
    for (const CrashRecord &record : expired) {
        remove(record.request_, record.endpoint_);
    }
    return expired;
}

void Quarantine::evict()
{
    struct Rank
    {
        std::size_t crashes_ = 0;
        Time updatedAt_{0};
        std::string request_;
    };
    std::vector<Rank> ranks;
    ranks.reserve(suspects_.size());
    for (const std::pair<const std::string, Suspect> &suspect : suspects_) {
        ranks.push_back(Rank{unexcused(suspect.second), suspect.second.updatedAt_, suspect.first});
    }
    const auto isLessSuspect = [](const Rank &left, const Rank &right) {
        return std::tie(left.crashes_, left.updatedAt_) < std::tie(right.crashes_, right.updatedAt_);
    };
    const std::size_t dropped = std::max<std::size_t>(1, ranks.size() / internal::shareDroppedAtOnce);
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(dropped), ranks.end(), isLessSuspect);
    for (std::size_t i = 0; i < dropped; ++i) {
        suspects_.erase(ranks[i].request_);
    }
}

} // namespace filbertgw

#include "accounts/quotaleases.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

/** The use of permits is averaged over about this time. */
constexpr double averagingSeconds = 2.0;
/** An account unused for this long is forgotten. */
constexpr Duration forgetTime{300'000'000};

} // namespace
} // namespace internal

QuotaLeases::QuotaLeases(Clock now, QuotaSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

void QuotaLeases::expire(Account &account) const
{
    const Time now = now_();
    while (!account.permits_.empty() && account.permits_.begin()->first <= now) {
        account.expired_ += account.permits_.begin()->second;
        account.permits_.erase(account.permits_.begin());
    }
}

std::optional<Time> QuotaLeases::take(const std::string &name)
{
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    Account &account = found->second;
    expire(account);
    if (account.permits_.empty()) {
        return std::nullopt;
    }
    const Time deadline = account.permits_.begin()->first;
    if (--account.permits_.begin()->second == 0) {
        account.permits_.erase(account.permits_.begin());
    }
    noteUse(name);
    return deadline;
}

void QuotaLeases::add(const std::string &account, std::uint32_t permits, Time deadline)
{
    if (permits > 0) {
        accounts_[account].permits_[deadline] += permits;
    }
}

void QuotaLeases::putBack(const std::string &name, Time deadline)
{
    Account &account = accounts_[name];
    ++account.permits_[deadline];
    expire(account);
}

void QuotaLeases::noteUse(const std::string &name)
{
    Account &account = accounts_[name];
    const Time now = now_();
    account.uses_ = account.uses_ * std::exp(-toSeconds(now - account.usedAt_) / internal::averagingSeconds) + 1.0;
    account.usedAt_ = now;
}

double QuotaLeases::usesPerLease(const Account &account) const
{
    const double uses = account.uses_ * std::exp(-toSeconds(now_() - account.usedAt_) / internal::averagingSeconds);
    return uses / internal::averagingSeconds * toSeconds(settings_.leaseTime_);
}

std::uint32_t QuotaLeases::held(const Account &account)
{
    std::uint32_t permits = 0;
    for (const std::pair<const Time, std::uint32_t> &lease : account.permits_) {
        permits += lease.second;
    }
    return permits;
}

std::uint32_t QuotaLeases::wanted(const std::string &name) const
{
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return 0;
    }
    // A node that uses less than one permit in a lease would return most of them unused.
    const double expected = std::floor(usesPerLease(found->second));
    const double missing = expected - held(found->second);
    return missing < 1.0 ? 0 : static_cast<std::uint32_t>(missing);
}

bool QuotaLeases::isRunningLow(const std::string &name) const
{
    const auto found = accounts_.find(name);
    return found != accounts_.end() && held(found->second) * 4.0 < usesPerLease(found->second);
}

std::uint32_t QuotaLeases::takeExpired(const std::string &name)
{
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return 0;
    }
    expire(found->second);
    return std::exchange(found->second.expired_, 0);
}

std::map<std::string, std::uint32_t> QuotaLeases::takeAllExpired()
{
    std::map<std::string, std::uint32_t> expired;
    for (auto entry = accounts_.begin(); entry != accounts_.end();) {
        expire(entry->second);
        if (entry->second.expired_ > 0) {
            expired[entry->first] = std::exchange(entry->second.expired_, 0);
        }
        const bool isUnused = entry->second.permits_.empty() && now_() - entry->second.usedAt_ > internal::forgetTime;
        entry = isUnused ? accounts_.erase(entry) : std::next(entry);
    }
    return expired;
}

void QuotaLeases::noteRefusal(const std::string &account, QuotaKind kind, Duration pause, Duration retryAfter)
{
    const Time now = now_();
    accounts_[account].refusals_.at(static_cast<std::size_t>(kind)) = Refusal{now + pause, now + retryAfter};
}

std::optional<Duration> QuotaLeases::refusal(const std::string &name, QuotaKind kind)
{
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    const Refusal &refusal = found->second.refusals_.at(static_cast<std::size_t>(kind));
    const Time now = now_();
    return refusal.until_ > now ? std::optional(std::max(refusal.retryAt_, refusal.until_) - now) : std::nullopt;
}

void QuotaLeases::noteRequestsPerProgram(const std::string &account, double requests)
{
    accounts_[account].requestsPerProgram_ = requests;
}

double QuotaLeases::requestsPerProgram(const std::string &name) const
{
    const auto found = accounts_.find(name);
    return found == accounts_.end() ? 0.0 : found->second.requestsPerProgram_;
}

} // namespace filbertgw

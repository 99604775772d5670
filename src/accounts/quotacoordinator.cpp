#include "accounts/quotacoordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

/** Requests per program are averaged over about this time. */
constexpr double learningSeconds = 20.0;
/** First turns from which on the requests per program count as known, and the weight of what another node reports. */
constexpr double minFirstTurns = 5.0;
/** Programs that may begin at once: at 60% of the rate, fewer than 1 in 1,000 programs find 8 others before them. */
constexpr double minProgramBurst = 8.0;
/** Permits are granted in advance only while the bucket is at least this full. */
constexpr double advanceShare = 0.5;
/** A node asks again after a refusal when this share of the bucket can have been refilled, within the two limits. */
constexpr double pauseShare = 0.25;
constexpr Duration shortestPause{20'000};
constexpr Duration longestPause{250'000};
/** After about this time it is certain whether a former coordinator is gone, and the whole rate is granted again. */
constexpr Duration unsurePause{1'000'000};
/** Refused requests are told to return within this time after the next permit is free. */
constexpr Duration longestPromise{2'000'000};

} // namespace
} // namespace internal

QuotaCoordinator::QuotaCoordinator(Clock now, QuotaSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

QuotaCoordinator::Account &
QuotaCoordinator::find(const std::string &name, const QuotaLimit &limit, const QuotaShare &share)
{
    const Time now = now_();
    auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        // A node that takes over and releases an account again and again adds the initial level once in a window.
        const auto released = released_.find(name);
        const bool isRepeated = released != released_.end() && now - released->second <= settings_.window_;
        const double level = isRepeated ? 0.0 : settings_.initialLevel(limit, share, now);
        found = accounts_.emplace(name, Account(level, internal::minProgramBurst, now)).first;
    }
    Account &account = found->second;
    account.limit_ = limit;
    account.share_ = share;
    account.usedAt_ = now;
    account.bucket_.refill(rateOf(account), capacityOf(account), now);
    const double perProgram = std::max(1.0, requestsPerProgram(account));
    account.programs_.refill(
        rateOf(account) / perProgram, std::max(internal::minProgramBurst, limit.burst_ / perProgram), now);
    return account;
}

void QuotaCoordinator::learn(Account &account, QuotaKind kind) const
{
    const Time now = now_();
    const double kept = std::exp(-toSeconds(now - account.decayedAt_) / internal::learningSeconds);
    account.decayedAt_ = now;
    account.requests_ = account.requests_ * kept + 1.0;
    account.firstTurns_ = account.firstTurns_ * kept + (kind == QuotaKind::FirstTurn ? 1.0 : 0.0);
}

double QuotaCoordinator::requestsPerProgram(const Account &account)
{
    return account.firstTurns_ >= internal::minFirstTurns ? account.requests_ / account.firstTurns_ : 0.0;
}

double QuotaCoordinator::capacityOf(const Account &account) const
{
    return settings_.capacity(account.limit_, account.share_);
}

double QuotaCoordinator::rateOf(const Account &account) const
{
    return settings_.rate(account.limit_, account.share_);
}

double QuotaCoordinator::reserveOf(const Account &account) const
{
    // A bucket that holds one request can't keep a part of it.
    const double most = std::max(0.0, capacityOf(account) - 1.0);
    return std::min(settings_.reserve(account.limit_) * account.share_.level_, most);
}

bool QuotaCoordinator::takePermit(Account &account, QuotaKind kind) const
{
    if (kind == QuotaKind::Other) {
        return account.bucket_.take(1.0, 0.0);
    }
    if (account.programs_.level() < 1.0 || !account.bucket_.take(1.0, reserveOf(account))) {
        return false;
    }
    return account.programs_.take(1.0, 0.0);
}

std::uint32_t QuotaCoordinator::takeAdvance(Account &account, std::uint32_t wanted) const
{
    const Time now = now_();
    while (!account.advances_.empty() && now - account.advances_.front().first > settings_.leaseTime_) {
        account.advances_.pop_front();
    }
    double open = settings_.advance(account.limit_) * account.share_.level_;
    for (const std::pair<Time, std::uint32_t> &advance : account.advances_) {
        open -= advance.second;
    }
    const double spare = account.bucket_.level() - capacityOf(account) * internal::advanceShare;
    const double most = std::floor(std::min(open, spare));
    const std::uint32_t granted = most < 1.0 ? 0 : std::min(wanted, static_cast<std::uint32_t>(most));
    if (granted > 0 && account.bucket_.take(granted, 0.0)) {
        account.advances_.emplace_back(now, granted);
        account.requests_ += granted; // The first turns among them are asked for one by one.
        return granted;
    }
    return 0;
}

void QuotaCoordinator::refuse(Account &account, QuotaKind kind, QuotaGrant &grant) const
{
    const Time now = now_();
    const double rate = rateOf(account);
    const double reserve = kind == QuotaKind::FirstTurn ? reserveOf(account) : 0.0;
    const double perProgram = std::max(1.0, requestsPerProgram(account));
    const double kindRate = kind == QuotaKind::FirstTurn ? rate / perProgram : rate;
    Duration next = account.bucket_.timeUntil(1.0 + reserve, rate);
    if (kind == QuotaKind::FirstTurn) {
        next = std::max(next, account.programs_.timeUntil(1.0, kindRate));
    }
    const bool isUnsure = account.share_.rate_ < account.share_.level_;
    next = std::max(next, isUnsure ? internal::unsurePause : internal::shortestPause);
    // Requests that are refused together are told to return one after the other.
    const Time slot = std::min(std::max(account.promisedUntil_, now + next), now + next + internal::longestPromise);
    account.promisedUntil_ = slot + fromSeconds(1.0 / std::max(kindRate, 0.1));
    grant.retryAfter_ = slot - now;
    const Duration refill =
        account.bucket_.timeUntil(account.bucket_.level() + capacityOf(account) * internal::pauseShare, rate);
    grant.pause_ = std::clamp(refill, internal::shortestPause, internal::longestPause);
}

QuotaGrant
QuotaCoordinator::grant(const std::string &name, const QuotaLimit &limit, const QuotaAsk &ask, const QuotaShare &share)
{
    Account &account = find(name, limit, share);
    if (ask.requestsPerProgram_ > 1.0 && requestsPerProgram(account) < 1.0) {
        account.firstTurns_ = internal::minFirstTurns;
        account.requests_ = ask.requestsPerProgram_ * internal::minFirstTurns;
    }
    QuotaGrant grant;
    if (ask.isWaiting_) {
        grant.isGranted_ = takePermit(account, ask.kind_);
        if (grant.isGranted_) {
            learn(account, ask.kind_);
        } else {
            refuse(account, ask.kind_, grant);
        }
    }
    if (ask.advance_ > 0 && (grant.isGranted_ || !ask.isWaiting_)) {
        grant.advance_ = takeAdvance(account, ask.advance_);
    }
    grant.requestsPerProgram_ = requestsPerProgram(account);
    return grant;
}

void QuotaCoordinator::putBack(const std::string &name, const QuotaLimit &limit, double permits)
{
    const auto found = accounts_.find(name);
    if (found != accounts_.end()) {
        Account &account = found->second;
        account.bucket_.putBack(permits, settings_.capacity(limit));
        account.requests_ = std::max(account.firstTurns_, account.requests_ - permits);
    }
}

void QuotaCoordinator::takeOver(const std::string &name, const QuotaLimit &limit, const QuotaState &state)
{
    const auto known = accounts_.find(name);
    QuotaShare share;
    share.since_ = now_(); // The former coordinator has granted permits until now.
    Account &account = find(name, limit, known == accounts_.end() ? share : known->second.share_);
    account.bucket_.putBack(std::max(state.level_, 0.0), settings_.capacity(limit));
    if (state.requestsPerProgram_ > 1.0 && requestsPerProgram(account) < 1.0) {
        account.firstTurns_ = internal::minFirstTurns;
        account.requests_ = state.requestsPerProgram_ * internal::minFirstTurns;
    }
}

QuotaState QuotaCoordinator::release(const std::string &name)
{
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return {};
    }
    const QuotaState state{found->second.bucket_.level(), requestsPerProgram(found->second)};
    accounts_.erase(found);
    released_[name] = now_();
    return state;
}

void QuotaCoordinator::restart()
{
    for (std::pair<const std::string, Account> &entry : accounts_) {
        entry.second.bucket_.restart(settings_.initialLevel(entry.second.limit_), now_());
    }
}

void QuotaCoordinator::expire()
{
    for (auto entry = released_.begin(); entry != released_.end();) {
        entry = now_() - entry->second > settings_.window_ ? released_.erase(entry) : std::next(entry);
    }
    for (auto entry = accounts_.begin(); entry != accounts_.end();) {
        const QuotaLimit &limit = entry->second.limit_;
        const double rate = std::max(limit.requestsPerSecond_, 0.01);
        // Kept as long as the requests per program are worth remembering, too.
        const Duration unused = fromSeconds(std::max(settings_.capacity(limit) / rate, 300.0));
        entry = now_() - entry->second.usedAt_ > unused ? accounts_.erase(entry) : std::next(entry);
    }
}

std::vector<std::string> QuotaCoordinator::accounts() const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, Account> &entry : accounts_) {
        names.push_back(entry.first);
    }
    return names;
}

std::optional<double> QuotaCoordinator::levelOf(const std::string &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? std::nullopt : std::optional(found->second.bucket_.level());
}

} // namespace filbertgw

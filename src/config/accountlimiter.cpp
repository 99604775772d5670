#include "config/accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Retry time of a refusal for concurrent calls, since it is unknown when a running call ends. */
constexpr Duration concurrencyRetryDelay = std::chrono::milliseconds(250);
constexpr Duration programsRetryDelay = std::chrono::seconds(5);

Failure rateLimited(const std::string &detail, Duration retryAfter)
{
    return Failure{FailureType::RateLimited, true, detail, retryAfter};
}

} // namespace internal

void AccountLimiter::setShare(double share)
{
    share_ = std::clamp(share, 1e-6, 1.0);
}

double AccountLimiter::ratePerSecond(const AccountConfig &account) const
{
    return account.requestsPerSecond_ * share_;
}

double AccountLimiter::burst(const AccountConfig &account) const
{
    return std::max(1.0, ratePerSecond(account) * limiterBurstSeconds);
}

std::int64_t AccountLimiter::shareOf(std::int64_t limit) const
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(limit) * share_));
}

bool AccountLimiter::isIdle(const State &state, Time now)
{
    return state.calls_ == 0 && state.programs_ == 0 && now >= state.fullAt_;
}

AccountLimiter::State &AccountLimiter::stateOf(const AccountId &account, Time now)
{
    const auto found = states_.find(account);
    if (found != states_.end()) {
        return found->second;
    }
    if (states_.size() >= maxLimiterAccounts) {
        constexpr std::size_t scan = 64;
        evictIdle(now, scan);
    }
    State state;
    state.updated_ = now;
    state.tokens_ = -1; // Set to the burst by the first admitCall(), which has the limits.
    return states_.emplace(account, state).first->second;
}

Result<void> AccountLimiter::admitCall(const AccountConfig &account, Time now)
{
    State &state = stateOf(account.id_, now);
    if (account.concurrentCalls_ > 0 && state.calls_ >= shareOf(account.concurrentCalls_)) {
        return boost::leaf::new_error(
            internal::rateLimited("the account has too many concurrent calls", internal::concurrencyRetryDelay));
    }
    const double rate = ratePerSecond(account);
    if (rate > 0) {
        const double full = burst(account);
        // A clock that steps back must not remove tokens.
        const double elapsed = std::max(0.0, toSeconds(now - state.updated_));
        state.tokens_ = state.tokens_ < 0 ? full : std::min(full, state.tokens_ + elapsed * rate);
        state.updated_ = now;
        if (state.tokens_ < 1.0) {
            const Duration wait = fromSeconds((1.0 - state.tokens_) / rate) + Duration(1);
            return boost::leaf::new_error(internal::rateLimited("the account exceeds its request rate", wait));
        }
        state.tokens_ -= 1.0;
        state.fullAt_ = now + fromSeconds((full - state.tokens_) / rate);
    }
    ++state.calls_;
    return {};
}

void AccountLimiter::callEnded(const AccountId &account, Time now)
{
    State &state = stateOf(account, now);
    state.calls_ = std::max(0, state.calls_ - 1);
}

Result<void> AccountLimiter::admitProgram(const AccountConfig &account, Time now)
{
    State &state = stateOf(account.id_, now);
    if (account.openPrograms_ > 0 && state.programs_ >= shareOf(account.openPrograms_)) {
        return boost::leaf::new_error(
            internal::rateLimited("the account has too many open programs", internal::programsRetryDelay));
    }
    ++state.programs_;
    return {};
}

void AccountLimiter::programTakenOver(const AccountId &account, Time now)
{
    ++stateOf(account, now).programs_;
}

void AccountLimiter::programEnded(const AccountId &account, Time now)
{
    State &state = stateOf(account, now);
    state.programs_ = std::max(0, state.programs_ - 1);
}

void AccountLimiter::evictIdle(Time now, std::size_t scan)
{
    for (std::size_t i = 0; i < scan && !states_.empty(); ++i) {
        nextBucket_ = (nextBucket_ + 1) % states_.bucket_count();
        std::vector<AccountId> idle;
        for (auto item = states_.begin(nextBucket_); item != states_.end(nextBucket_); ++item) {
            if (isIdle(item->second, now)) {
                idle.push_back(item->first);
            }
        }
        for (const AccountId &account : idle) {
            states_.erase(account);
        }
    }
}

} // namespace filbertgw

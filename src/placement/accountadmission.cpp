#include "placement/accountadmission.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

/** The sum of unlisted accounts is many small ones, none of which is over the fair level. */
constexpr double weightOfOthers = 1'000.0;
/** Running requests below which an account without requests of this node is no longer tracked. */
constexpr double minTrackedRequests = 0.01;

double decayOver(Duration age, Duration meanTime)
{
    return std::exp(-std::max(0.0, toSeconds(age) / toSeconds(meanTime)));
}

} // namespace
} // namespace internal

std::vector<AccountLoad> sumOfLoads(const std::vector<AccountLoad> &load)
{
    std::map<std::pair<std::string, std::uint32_t>, AccountLoad> sums;
    for (const AccountLoad &entry : load) {
        const auto added = sums.try_emplace({entry.service_, entry.account_}, entry);
        if (!added.second) {
            AccountLoad &sum = added.first->second;
            sum.running_ += entry.running_;
            sum.priority_ = std::min(sum.priority_, entry.priority_);
        }
    }
    std::vector<AccountLoad> result;
    for (const auto &sum : sums) {
        result.push_back(sum.second);
    }
    return result;
}

std::vector<AccountLoad> largestLoads(std::vector<AccountLoad> load, std::size_t max)
{
    std::sort(load.begin(), load.end(), [](const AccountLoad &left, const AccountLoad &right) {
        return left.running_ != right.running_ ? left.running_ > right.running_ : left.account_ < right.account_;
    });
    std::map<std::string, std::size_t> listed;
    for (AccountLoad &entry : load) {
        if (entry.account_ != AccountLoad::others && ++listed[entry.service_] > max) {
            entry.account_ = AccountLoad::others;
        }
    }
    return sumOfLoads(load);
}

AccountAdmission::AccountAdmission(Clock now, AccountAdmissionSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

std::uint32_t AccountAdmission::idOf(const std::string &account)
{
    return std::max<std::uint32_t>(AccountLoad::others + 1, static_cast<std::uint32_t>(stableHash(account)));
}

void AccountAdmission::started(const std::string &service, const std::string &account, std::uint32_t priority)
{
    AccountState &state = services_[service].accounts_[idOf(account)];
    ++state.local_;
    state.priority_ = priority;
}

void AccountAdmission::ended(const std::string &service, const std::string &account)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    const auto state = found->second.accounts_.find(idOf(account));
    if (state != found->second.accounts_.end() && state->second.local_ > 0) {
        --state->second.local_;
    }
}

std::vector<AccountLoad> AccountAdmission::localLoad() const
{
    std::vector<AccountLoad> load;
    std::size_t services = 0;
    for (const std::pair<const std::string, ServiceState> &service : services_) {
        if (++services > settings_.maxReportedServices_) {
            break;
        }
        for (const std::pair<const std::uint32_t, AccountState> &account : service.second.accounts_) {
            if (account.second.local_ > 0) {
                load.push_back(
                    AccountLoad{service.first, account.first, account.second.local_, account.second.priority_});
            }
        }
    }
    return largestLoads(std::move(load), settings_.maxReported_);
}

void AccountAdmission::setPeerLoad(const std::string &source, std::vector<AccountLoad> load)
{
    peers_[source] = PeerReport{now_(), std::move(load)};
}

/** Sums the running requests of the peers' reports that have not expired, by account id. */
std::unordered_map<std::uint32_t, AccountLoad> AccountAdmission::reportedLoad(const std::string &service) const
{
    std::unordered_map<std::uint32_t, AccountLoad> sums;
    for (const std::pair<const std::string, PeerReport> &peer : peers_) {
        for (const AccountLoad &entry : peer.second.load_) {
            if (entry.service_ == service) {
                const bool isListed = sums.count(entry.account_) != 0 || sums.size() < settings_.maxAccounts_;
                AccountLoad &sum = sums[isListed ? entry.account_ : AccountLoad::others];
                sum.running_ += entry.running_;
                sum.priority_ = std::max(sum.priority_, entry.priority_);
            }
        }
    }
    return sums;
}

void AccountAdmission::updateMeans(const std::string &service, ServiceState &state)
{
    const Time oldest = now_() - settings_.peerTimeout_;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        peer = peer->second.receivedAt_ < oldest ? peers_.erase(peer) : std::next(peer);
    }
    std::unordered_map<std::uint32_t, AccountLoad> reported = reportedLoad(service);
    for (const std::pair<const std::uint32_t, AccountLoad> &entry : reported) {
        const auto added = state.accounts_.try_emplace(entry.first);
        if (added.second) {
            added.first->second.priority_ = entry.second.priority_;
        }
    }
    const Duration age = now_() - state.updatedAt_;
    const double loadDecay = internal::decayOver(age, settings_.loadMeanTime_);
    const double refusalDecay = internal::decayOver(age, settings_.refusalMeanTime_);
    for (auto entry = state.accounts_.begin(); entry != state.accounts_.end();) {
        AccountState &account = entry->second;
        const auto others = reported.find(entry->first);
        const double running = account.local_ + (others != reported.end() ? others->second.running_ : 0U);
        account.running_ += (running - account.running_) * (1.0 - loadDecay);
        account.refused_ += (account.refusalProbability_ - account.refused_) * (1.0 - refusalDecay);
        const bool isGone = running == 0.0 && account.running_ < internal::minTrackedRequests;
        entry = isGone ? state.accounts_.erase(entry) : std::next(entry);
    }
    state.updatedAt_ = now_();
}

AccountDemand
AccountAdmission::demandOf(std::uint32_t id, const AccountState &account, const RefusedShare &refusedShare) const
{
    const double correction = 1.0 / std::max(1.0 - account.refused_, 1.0 / settings_.maxRefusalCorrection_);
    return AccountDemand{
        account.running_ * correction,
        id == AccountLoad::others ? internal::weightOfOthers : FairShares::weightOf(account.priority_),
        refusedShare(account.priority_),
    };
}

void AccountAdmission::update(const std::string &service, const RefusedShare &refusedShare)
{
    ServiceState &state = services_[service];
    updateMeans(service, state);
    std::vector<AccountDemand> demands;
    demands.reserve(state.accounts_.size());
    for (const std::pair<const std::uint32_t, AccountState> &account : state.accounts_) {
        demands.push_back(demandOf(account.first, account.second, refusedShare));
    }
    state.shares_.emplace(demands, settings_.minServedRatio_);
    std::size_t next = 0;
    for (std::pair<const std::uint32_t, AccountState> &account : state.accounts_) {
        account.second.refusalProbability_ = state.shares_->refusalProbability(demands[next++]);
    }
}

double AccountAdmission::refusalProbability(const std::string &service,
                                            const std::string &account,
                                            std::uint32_t priority,
                                            const RefusedShare &refusedShare) const
{
    const double ofPriority = refusedShare(priority);
    const double ofLowest = std::max(ofPriority, refusedShare(1));
    const auto found = services_.find(service);
    if (ofLowest <= 0.0 || found == services_.end() || !found->second.shares_) {
        return ofPriority;
    }
    const auto state = found->second.accounts_.find(idOf(account));
    AccountDemand demand{1.0, FairShares::weightOf(priority), ofPriority};
    if (state != found->second.accounts_.end()) {
        demand.requests_ = std::max(demand.requests_, demandOf(state->first, state->second, refusedShare).requests_);
    }
    return found->second.shares_->refusalProbability(demand);
}

std::size_t AccountAdmission::accounts(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() ? found->second.accounts_.size() : 0;
}

} // namespace filbertgw

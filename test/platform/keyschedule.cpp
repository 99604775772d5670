#include "keyschedule.h"

#include "platform/wirenames.h"

#include <algorithm>

namespace filbertgw::testing {

const std::string KeySchedule::keyPrefix = "sEcReT-";

namespace {

namespace wire = platform::wire;

const std::vector<std::string> accountNames{"anna", "bert", "cleo"};
/** By the rules, a node has learned of a change after this time, also if the store has turned it away meanwhile. */
constexpr Duration revokeTime{5'000'000};
constexpr std::size_t fewestKeys = 3;
constexpr std::size_t mostKeys = 8;
constexpr int unauthenticated = 401;

bool isOf(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

bool containsKey(const EngineRun &run)
{
    const auto isInHeader = [](const std::pair<const std::string, std::string> &header) {
        return header.first == wire::apiKey || header.second.find(KeySchedule::keyPrefix) != std::string::npos;
    };
    return std::any_of(run.headers_.begin(), run.headers_.end(), isInHeader)
        || run.body_.find(KeySchedule::keyPrefix) != std::string::npos;
}

} // namespace

KeySchedule::KeySchedule(std::uint64_t seed)
    : random_(seed)
{
    for (const std::string &name : accountNames) {
        addKey(name, Time{0});
    }
}

std::string KeySchedule::addKey(const std::string &account, Time now)
{
    const std::string key = keyPrefix + std::to_string(random_());
    keys_[key].push_back(Tenure{now, account});
    return key;
}

void KeySchedule::change(Time now)
{
    std::vector<std::string> current;
    for (const std::pair<const std::string, std::vector<Tenure>> &entry : keys_) {
        if (!entry.second.back().account_.empty()) {
            current.push_back(entry.first);
        }
    }
    const std::string &key = current[random_() % current.size()];
    const std::string &account = accountNames[random_() % accountNames.size()];
    const std::uint64_t kind = random_() % 3;
    if (current.size() <= fewestKeys || (kind == 0 && current.size() < mostKeys)) {
        addKey(account, now);
    } else {
        keys_[key].push_back(Tenure{now, kind == 1 ? account : std::string()});
    }
}

nlohmann::json KeySchedule::accounts() const
{
    nlohmann::json accounts = nlohmann::json::array();
    for (const std::string &name : accountNames) {
        nlohmann::json keys = nlohmann::json::array();
        for (const std::pair<const std::string, std::vector<Tenure>> &entry : keys_) {
            if (entry.second.back().account_ == name) {
                keys.push_back(entry.first);
            }
        }
        accounts.push_back({{"name", name}, {"api_keys", keys}, {"rate_per_s", 0}, {"burst", 0}});
    }
    return accounts;
}

std::string KeySchedule::draw(std::mt19937_64 &random, bool isStale) const
{
    std::vector<std::string> current;
    std::vector<std::string> stale;
    for (const std::pair<const std::string, std::vector<Tenure>> &entry : keys_) {
        (entry.second.back().account_.empty() ? stale : current).push_back(entry.first);
    }
    const std::vector<std::string> &keys = isStale && !stale.empty() ? stale : current;
    return keys[random() % keys.size()];
}

std::vector<std::string> KeySchedule::allowedAccounts(const std::string &key, const ClientTry &attempt) const
{
    const std::vector<Tenure> &tenures = keys_.at(key);
    std::vector<std::string> allowed;
    if (attempt.sentAt_ - revokeTime < tenures.front().since_) {
        allowed.emplace_back(); // It may not be known everywhere yet.
    }
    for (std::size_t i = 0; i < tenures.size(); ++i) {
        const bool hasBegun = tenures[i].since_ <= attempt.endedAt_;
        const bool hasEnded = i + 1 < tenures.size() && tenures[i + 1].since_ < attempt.sentAt_ - revokeTime;
        if (hasBegun && !hasEnded) {
            allowed.push_back(tenures[i].account_);
        }
    }
    return allowed;
}

std::vector<Violation> KeySchedule::check(const std::vector<std::shared_ptr<ClientRequest>> &requests,
                                          const EngineRecord &record) const
{
    std::vector<Violation> violations;
    std::map<std::string, std::pair<const ClientRequest *, const ClientTry *>> tries;
    for (const std::shared_ptr<ClientRequest> &request : requests) {
        for (const std::shared_ptr<ClientTry> &attempt : request->tries()) {
            tries[attempt->attempt_] = {request.get(), attempt.get()};
            const bool isDenied = attempt->status_ == unauthenticated;
            if (isDenied && !isOf(allowedAccounts(request->task().key_, *attempt), {})) {
                violations.push_back({"DENIED", attempt->attempt_ + " has a valid key", request->task().token_});
            }
        }
    }
    for (const EngineRun &run : record.runs_) {
        if (containsKey(run)) {
            violations.push_back({"KEY", run.attempt_ + " brought a key to " + run.engine_, run.token_});
        }
        const auto found = tries.find(run.attempt_);
        if (found == tries.end()) {
            continue;
        }
        const auto header = run.headers_.find(wire::account);
        const std::string account = header == run.headers_.end() ? std::string() : header->second;
        const std::string &key = found->second.first->task().key_;
        if (account.empty() || !isOf(allowedAccounts(key, *found->second.second), account)) {
            violations.push_back({"ACCOUNT", run.attempt_ + " ran as '" + account + '\'', run.token_});
        }
    }
    return violations;
}

std::size_t KeySchedule::refusals(const std::vector<std::shared_ptr<ClientRequest>> &requests)
{
    std::size_t refusals = 0;
    for (const std::shared_ptr<ClientRequest> &request : requests) {
        for (const std::shared_ptr<ClientTry> &attempt : request->tries()) {
            refusals += attempt->status_ == unauthenticated ? 1 : 0;
        }
    }
    return refusals;
}

} // namespace filbertgw::testing

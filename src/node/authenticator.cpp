#include "node/authenticator.h"

#include "config/configsection.h"
#include "core/digest.h"

namespace filbertgw {
namespace internal {

constexpr std::size_t cachedKeys = 32'768; ///< More than the 21,000 accounts of the target; about 5 MB.

bool matches(const AccountConfig &account, const std::string &key)
{
    for (const std::string &salted : account.saltedKeyHashes_) {
        const std::size_t separator = salted.find('$');
        if (separator == std::string::npos) {
            continue;
        }
        const std::string salt = salted.substr(0, separator);
        if (equalConstantTime(sha256(salt + key), salted.substr(separator + 1))) {
            return true;
        }
    }
    return false;
}

} // namespace internal

Authenticator::Authenticator(const Blackboard &blackboard, std::vector<std::string> operatorKeys)
    : blackboard_(blackboard)
    , operatorKeys_(std::move(operatorKeys))
{
}

std::string Authenticator::bearerKey(const HttpRequest &request)
{
    const std::string scheme = "Bearer ";
    const auto found = request.headers_.find("authorization");
    if (found == request.headers_.end() || found->second.compare(0, scheme.size(), scheme) != 0) {
        return {};
    }
    return found->second.substr(scheme.size());
}

bool Authenticator::isOperator(const HttpRequest &request) const
{
    const std::string key = bearerKey(request);
    bool found = false;
    for (const std::string &accepted : operatorKeys_) {
        found = equalConstantTime(key, accepted) || found;
    }
    return found && !key.empty();
}

std::optional<AccountId> Authenticator::find(const std::string &key) const
{
    const ConfigSection &config = blackboard_.read<ConfigSection>();
    const auto named = config.accounts_.find(AccountId(key.substr(0, key.find('.'))));
    if (named != config.accounts_.end() && internal::matches(named->second, key)) {
        return named->first;
    }
    for (const auto &[id, account] : config.accounts_) {
        if (internal::matches(account, key)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<AccountId> Authenticator::accountOf(const HttpRequest &request)
{
    const std::string key = bearerKey(request);
    if (key.empty()) {
        return std::nullopt;
    }
    const Offset offset = blackboard_.read<ConfigSection>().offset_;
    if (offset != configOffset_) {
        cache_.clear();
        order_.clear();
        configOffset_ = offset;
    }
    const std::string digest = sha256(key);
    const auto cached = cache_.find(digest);
    if (cached != cache_.end()) {
        return cached->second;
    }
    const std::optional<AccountId> account = find(key);
    remember(digest, account);
    return account;
}

void Authenticator::remember(const std::string &digest, const std::optional<AccountId> &account)
{
    if (order_.size() >= internal::cachedKeys) {
        cache_.erase(order_.front());
        order_.pop_front();
    }
    cache_[digest] = account;
    order_.push_back(digest);
}

} // namespace filbertgw

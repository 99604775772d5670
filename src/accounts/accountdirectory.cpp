#include "accounts/accountdirectory.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {
namespace {

/** Names are sent to endpoints in a header. */
constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxKeyBytes = 512;

/** \brief True for a text of visible characters, which a header can carry unchanged. */
bool isHeaderText(const std::string &text, std::size_t maxBytes)
{
    const auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= maxBytes && std::all_of(text.begin(), text.end(), isVisible);
}

bool isRate(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

/** Bounds the log line about a configuration that is wrong throughout. */
constexpr std::size_t maxFaults = 20;

/** \brief Collects the faults of the accounts into one text. */
class FaultList
{
public:
    void add(const std::string &account, const char *fault)
    {
        if (++faults_ <= maxFaults) {
            const std::string name = account.substr(0, maxNameBytes);
            text_ += (text_.empty() ? "" : "; ") + std::string("account '") + name + "' " + fault;
        }
    }
    std::string text() const
    {
        return faults_ <= maxFaults ? text_ : text_ + "; and " + std::to_string(faults_ - maxFaults) + " more";
    }

private:
    std::string text_;
    std::size_t faults_ = 0;
};

void checkAccount(const ClientAccount &account, FaultList &faults)
{
    if (!isHeaderText(account.name_, maxNameBytes)) {
        faults.add(account.name_, "has a name that is empty, too long or not printable");
    }
    if (!isRate(account.requestsPerSecond_) || !isRate(account.burst_)) {
        faults.add(account.name_, "has a rate or burst that is not a number of at least 0");
    }
}

} // namespace
} // namespace internal

Result<AccountDirectory> AccountDirectory::build(std::vector<ClientAccount> accounts)
{
    AccountDirectory directory;
    internal::FaultList faults;
    for (ClientAccount &account : accounts) {
        const std::string name = account.name_;
        internal::checkAccount(account, faults);
        for (const std::string &key : account.keys_) {
            if (!isKey(key)) {
                faults.add(name, "has a key that is empty, too long or not printable");
            }
            const auto entry = directory.namesByDigest_.emplace(sha256(key), name);
            if (!entry.second && entry.first->second != name) {
                faults.add(name, "has a key of another account");
            }
        }
        account.keys_.clear();
        if (!directory.accounts_.emplace(name, std::move(account)).second) {
            faults.add(name, "is listed twice");
        }
    }
    if (!faults.text().empty()) {
        return boost::leaf::new_error(Failure{FailureType::InvalidRequest, true, faults.text(), Duration{0}});
    }
    return directory;
}

bool AccountDirectory::isKey(const std::string &key)
{
    return internal::isHeaderText(key, internal::maxKeyBytes);
}

const ClientAccount *AccountDirectory::findByKey(const std::string &key) const
{
    const auto found = namesByDigest_.find(sha256(key));
    return found == namesByDigest_.end() ? nullptr : findByName(found->second);
}

const ClientAccount *AccountDirectory::findByName(const std::string &name) const
{
    const auto found = accounts_.find(name);
    return found == accounts_.end() ? nullptr : &found->second;
}

const std::map<std::string, ClientAccount> &AccountDirectory::accounts() const
{
    return accounts_;
}

} // namespace filbertgw

#ifndef FILBERTGW_TEST_PLATFORM_KEYSCHEDULE_H
#define FILBERTGW_TEST_PLATFORM_KEYSCHEDULE_H

#include "rulechecker.h"

#include <nlohmann/json.hpp>

#include <random>

namespace filbertgw::testing {

/** \brief Client accounts whose keys come, go and move to other accounts, and a check of what the keys let through. */
class KeySchedule
{
public:
    explicit KeySchedule(std::uint64_t seed);

    /** \brief Adds a key, removes one or moves one to another account. */
    void change(Time now);
    /** \brief The accounts as the operators write them. */
    nlohmann::json accounts() const;
    /** \brief A key that an account has; with \p isStale one that it had, if there is one. */
    std::string draw(std::mt19937_64 &random, bool isStale) const;
    /** \brief Checks that engines see no key, and each request with the account that its key has or had lately. */
    std::vector<Violation> check(const std::vector<std::shared_ptr<ClientRequest>> &requests,
                                 const EngineRecord &record) const;
    /** \brief Counts of tries that were refused with 401. */
    static std::size_t refusals(const std::vector<std::shared_ptr<ClientRequest>> &requests);
    /** Begins each key. */
    static const std::string keyPrefix;

private:
    /** \brief The account of a key since some time; empty if it was removed. */
    struct Tenure
    {
        Time since_{0};
        std::string account_;
    };

    std::string addKey(const std::string &account, Time now);
    /** \brief Accounts that a key may count for in a try; an empty one allows a refusal. */
    std::vector<std::string> allowedAccounts(const std::string &key, const ClientTry &attempt) const;

    std::mt19937_64 random_;
    std::map<std::string, std::vector<Tenure>> keys_;
};

} // namespace filbertgw::testing

#endif

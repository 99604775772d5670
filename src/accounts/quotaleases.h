#ifndef FILBERTGW_ACCOUNTS_QUOTALEASES_H
#define FILBERTGW_ACCOUNTS_QUOTALEASES_H

#include "accounts/quotatypes.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertgw {

/**
 * \brief Permits that this node holds, each with a deadline on a clock that includes suspension.
 *
 * A process that was frozen past the deadline finds its permits expired. Also remembers refusals for a short time, so
 * that an account far over its limit costs few messages.
 */
class QuotaLeases
{
public:
    QuotaLeases(Clock now, QuotaSettings settings);

    /** \brief Takes a permit and counts the use. \return its deadline, or nothing if the node holds none. */
    std::optional<Time> take(const std::string &account);
    void add(const std::string &account, std::uint32_t permits, Time deadline);
    /** \brief Takes back the permit of a request that was not run; it keeps its deadline. */
    void putBack(const std::string &account, Time deadline);
    /** \brief Counts the use of a permit that was granted to a waiting request. */
    void noteUse(const std::string &account);
    /** \brief Permits that the node expects to use within the lease time, beyond those that it holds. */
    std::uint32_t wanted(const std::string &account) const;
    /** \brief True if permits should be asked for before the present ones run out. */
    bool isRunningLow(const std::string &account) const;
    /** \brief Removes expired permits. \return those to give back to the coordinator. */
    std::uint32_t takeExpired(const std::string &account);
    std::map<std::string, std::uint32_t> takeAllExpired();

    void noteRefusal(const std::string &account, QuotaKind kind, Duration pause, Duration retryAfter);
    /** \brief Retry-After of requests of this kind; nothing if the coordinator is to be asked. */
    std::optional<Duration> refusal(const std::string &account, QuotaKind kind);
    void noteRequestsPerProgram(const std::string &account, double requests);
    double requestsPerProgram(const std::string &account) const;

private:
    struct Refusal
    {
        Time until_{0};
        Time retryAt_{0};
    };
    struct Account
    {
        std::map<Time, std::uint32_t> permits_; ///< By deadline.
        std::uint32_t expired_ = 0;
        double uses_ = 0.0; ///< Decaying number of uses, with a time constant of 2 s.
        Time usedAt_{0};
        double requestsPerProgram_ = 0.0;
        std::array<Refusal, 2> refusals_; ///< By QuotaKind.
    };

    void expire(Account &account) const;
    double usesPerLease(const Account &account) const;
    static std::uint32_t held(const Account &account);

    Clock now_;
    QuotaSettings settings_;
    std::map<std::string, Account> accounts_;
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_ENDPOINTS_QUARANTINE_H
#define FILBERTGW_ENDPOINTS_QUARANTINE_H

#include "core/time.h"
#include "endpoints/crashrecord.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

struct QuarantineSettings
{
    std::size_t crashLimit_ = 3; ///< A request is quarantined once so many endpoints have ended while they ran it.
    Duration lifetime_{600'000'000}; ///< Of a request's records, since this node learned of the last one.
    std::size_t maxRequests_ = 4096; ///< Beyond it, an eighth of the requests is dropped: few crashes first, then old.
    Duration trialDelay_{15'000'000}; ///< From the quarantine to the request that is sent nevertheless, by one node.
    std::size_t announcements_ = 3; ///< Reports to other nodes that contain a new record.
    std::size_t maxAnnounced_ = 64; ///< Records in one report.
    /** A record that is not in the store after this time, and up to as much again, is stored by any node knowing it. */
    Duration repairDelay_{5'000'000};
};

struct QuarantineHooks
{
    Clock now_;
    RandomSource random_;
    std::function<void(const std::string &request)> onQuarantined_; ///< The request has reached the limit.
    std::function<bool(const std::string &request)> isTrialNode_; ///< This node sends its trials; false if empty.
    /** \brief This node has excused records of a suspect: others must learn of it. */
    std::function<void(const std::vector<CrashRecord> &)> onExcused_;
};

/**
 * \brief Requests under which endpoints ended, as known to all nodes; those that ended several are sent no more.
 *
 * The records form a set that only grows until they expire: a record is added or excused, in any order and any number
 * of times. So nodes need no agreement; each merges what it observes with what others report and what is stored.
 * A request that was answered is not the cause of earlier crashes. This also holds for different requests with the same
 * fingerprint, such as lookups without a body.
 *
 * A request has two fingerprints, whose crashes are counted apart: that of its content, and that of its target, for one
 * that comes again with another body.
 */
class Quarantine
{
public:
    Quarantine(QuarantineHooks hooks, QuarantineSettings settings);

    /** \brief Merges a record. \return true if it is new, or newly excused. */
    bool add(const CrashRecord &record);
    /** \brief Drops a record that another node has deleted. */
    void remove(const std::string &request, const std::string &endpoint);
    /** \brief An endpoint has answered the request. */
    void requestAnswered(const std::string &request);
    /** \brief True if no request is suspected, so that fingerprints need not be computed. */
    bool isEmpty() const;
    bool isQuarantined(const std::string &request) const;
    /**
     * \brief True if a quarantined request is to be sent once, to find out whether endpoints still end under it.
     *
     * For fingerprints that innocent requests may share: its answer excuses them. Each further one can end an endpoint,
     * and another node may take over as the one that sends it.
     */
    bool tryAgain(const std::string &request);
    /** \brief Number of endpoints that ended while they ran the request, and are not excused. */
    std::size_t crashes(const std::string &request) const;
    std::size_t requests() const;

    /** \brief Returns the records for the next report to other nodes. */
    std::vector<CrashRecord> takeAnnouncements();
    /** \brief Merges a record that was read from the store. */
    void addStored(const CrashRecord &record);
    /** \brief Returns the records that should be in the store by now and are not. */
    std::vector<CrashRecord> takeUnstored();
    /** \brief Drops the records whose lifetime has passed. \return the dropped records. */
    std::vector<CrashRecord> expire();

private:
    struct Crash
    {
        Time repairAt_{0}; ///< When the record is to be stored, unless it was read from the store before.
        bool isStored_ = false;
        bool isExcused_ = false;
        bool isShared_ = true; ///< False if only this node knows that the crash is excused.
    };
    struct Suspect
    {
        std::map<std::string, Crash> crashes_; ///< By incarnation of the endpoint.
        Time updatedAt_{0};
        bool isQuarantined_ = false;
        Time trialAt_{0}; ///< Set when it is quarantined.
        bool wasTried_ = false;
    };
    struct Announcement
    {
        CrashRecord record_;
        std::size_t left_ = 0;
    };

    static std::size_t unexcused(const Suspect &suspect);
    void shareExcuses(const std::string &request, Suspect &suspect);
    void announce(const CrashRecord &record);
    Time nextRepair();
    void evict();

    QuarantineHooks hooks_;
    QuarantineSettings settings_;
    std::unordered_map<std::string, Suspect> suspects_; ///< By fingerprint.
    std::deque<Announcement> announcements_;
};

} // namespace filbertgw

#endif

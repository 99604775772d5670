#ifndef FILBERTGW_PLACEMENT_PACETRACKER_H
#define FILBERTGW_PLACEMENT_PACETRACKER_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

struct PaceSettings
{
    Duration decayTime_{3'000'000}; ///< Time constant of the exponential decay of observations.
    Duration programLifetime_{60'000'000}; ///< Age from which the start of a program may be dropped.
    std::size_t maxPrograms_ = 20'000; ///< Number of program starts that are kept.
    double minWeight_ = 10.0; ///< Number of turns below which there is no estimate.
    Duration peerTimeout_{1'500'000}; ///< Age from which reports of other nodes are ignored.
};

/** \brief Decaying sums over the turns of running programs; sums of several nodes can be added. */
struct PaceSums
{
    double weight_ = 0.0; ///< Number of turns.
    double timeLeft_ = 0.0; ///< Share of the program's time that was left when each turn started.
    double slowdown_ = 0.0; ///< Time of the turns relative to idle engines.

    PaceSums &operator+=(const PaceSums &other);
};

/** \brief Sums of one service. */
struct ServicePace
{
    std::string service_;
    PaceSums sums_;
};

/**
 * \brief Estimates the slowdown of turns at which programs just meet their deadlines.
 *
 * Each turn tells how much of its program's time is left. If programs just meet their deadlines, half of the time is
 * left on average over their turns; if more is left, the engines can take more load.
 */
class PaceTracker
{
public:
    PaceTracker(Clock now, PaceSettings settings);

    /** \brief Records the first turn of a program. \param finishIn time until the deadline of the program. */
    void programStarted(const std::string &program, Duration finishIn);
    /** \brief Records a later turn. \param slowdown current time of a turn relative to idle engines. */
    void turnStarted(const std::string &service, const std::string &program, Duration finishIn, double slowdown);

    /** \brief Drops all local observations, for example after an outage that delayed programs independently of the
     * engines. */
    void reset();

    /** \brief Slowdown at which programs just meet their deadlines; empty if too few turns were observed. */
    std::optional<double> allowedSlowdown(const std::string &service) const;

    /** \brief Observations of this node, for reports to its peers. */
    std::vector<ServicePace> localPaces() const;
    /** \brief Replaces the observations of a peer. Implausible entries are ignored. */
    void setPeerPaces(const std::string &peer, std::vector<ServicePace> paces);

private:
    struct Start
    {
        Time startedAt_{0};
        Duration finishIn_{0};
    };
    struct LocalPace
    {
        Time updatedAt_{0};
        PaceSums sums_;
    };
    struct PeerPace
    {
        Time receivedAt_{0};
        std::vector<ServicePace> paces_;
    };

    PaceSums decayed(const LocalPace &local) const;
    void dropOldStarts();

    Clock now_;
    PaceSettings settings_;
    std::unordered_map<std::string, Start> starts_; ///< By program.
    std::map<std::string, LocalPace> localPaces_; ///< By service.
    std::unordered_map<std::string, PeerPace> peers_;
};

} // namespace filbertgw

#endif

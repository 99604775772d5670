#ifndef FILBERTGW_GATEWAY_PACETRACKER_H
#define FILBERTGW_GATEWAY_PACETRACKER_H

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
    Duration decayTime_{3'000'000}; ///< Time in which the weight of an observation falls to a third.
    Duration programLifetime_{60'000'000}; ///< How long the start of a program is kept.
    std::size_t maxPrograms_ = 20'000; ///< Starts of programs that are kept.
    double minWeight_ = 10.0; ///< Observations below which nothing is concluded.
    Duration peerTimeout_{1'500'000}; ///< Age at which another node's word is void.
};

/** \brief Sums over the turns of programs under way; sums of several nodes can be added. */
struct PaceSums
{
    double weight_ = 0.0; ///< Number of turns.
    double timeLeft_ = 0.0; ///< Part of the program's time that was left at its turns.
    double slowdown_ = 0.0; ///< How much longer turns took than on idle engines.

    PaceSums &operator+=(const PaceSums &other);
};

/** \brief Sums of one service. */
struct ServicePace
{
    std::string service_;
    PaceSums sums_;
};

/**
 * \brief Learns how far the engines' turns may be stretched before programs finish late.
 *
 * Each turn says how much time its program has left. Turns of programs that are just in time find half of the time left
 * in the mean; where they find more, the engines may be loaded further.
 */
class PaceTracker
{
public:
    PaceTracker(Clock now, PaceSettings settings);

    /** \brief The first turn of a program. \param finishIn time until the program should be finished. */
    void programStarted(const std::string &program, Duration finishIn);
    /** \brief A later turn. \param stretch turn time now, against idle engines. */
    void turnStarted(const std::string &service, const std::string &program, Duration finishIn, double slowdown);

    /** \brief Forgets the programs under way, since something else than the engines held them up. */
    void reset();

    /** \brief Stretch at which programs would be just in time; nothing if too few turns were seen. */
    std::optional<double> allowedSlowdown(const std::string &service) const;

    /** \brief What this node has seen itself. */
    std::vector<ServicePace> localPaces() const;
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
    std::unordered_map<std::string, Start> starts_;
    std::map<std::string, LocalPace> localPaces_; ///< By service.
    std::unordered_map<std::string, PeerPace> peers_;
};

} // namespace filbertgw

#endif

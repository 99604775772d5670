#ifndef FILBERTGW_PLACEMENT_ADMISSION_H
#define FILBERTGW_PLACEMENT_ADMISSION_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief Load of a service as known to this node. */
struct ServiceLoad
{
    double requestsPerSlot_ = 0.0; ///< Running requests per slot, over all nodes and endpoints.
    double slowdown_ = 1.0; ///< Time of a request divided by its time on an idle endpoint.
    std::optional<double> allowedSlowdown_; ///< Slowdown at which programs just meet their deadlines, if known.
    double slotsPerEndpoint_ = 16.0;
};

/** \brief Load and slowdown thresholds for refusing new programs, by priority of the route. */
struct AdmissionSettings
{
    /**
     * Share of the slots to keep free so that few turns wait, multiplied by the square root of the slots per endpoint:
     * with fewer slots per queue, random fluctuations fill all of them at a lower mean load. Refusals of programs below
     * the highest priority begin when less is free.
     */
    double headroomFactor_ = 0.6;
    /** Increase in requests per slot over which the refused share grows from 0 to 1. */
    double refusalRange_ = 0.4;
    /** Amount by which the load threshold is higher for the highest priority. */
    double highPriorityOffset_ = 0.25;
    /** Ratio of slowdown to allowed slowdown from which new programs are refused. */
    double slowdownThreshold_ = 0.75;
    /** Increase of that ratio over which the refused share grows from 0 to 1. */
    double slowdownRange_ = 0.35;
    /** Amount by which that ratio is higher for the highest priority. */
    double highPrioritySlowdownOffset_ = 0.1;
    /** No program is refused for a slowdown up to this: programs that are late then have other causes. */
    double minSlowdown_ = 1.7;
};

/**
 * \brief Decides whether a new program may start.
 *
 * In an overload, or when engines have become slow, all running programs would miss their deadlines. A share of the new
 * programs is refused instead, before any work was spent on them, those of lower priority first.
 *
 * Clients retry a refused program within the same overload. The random draw is fixed per program, so that a retry at
 * the same load gets the same answer; with a new draw each time, the program would eventually be admitted with too
 * little time left to finish.
 */
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);

    /**
     * \brief Whether to admit a program whose first turn arrives.
     * \param priority of the route, 0 for the highest.
     * \param draw uniformly distributed in [0, 1), the same for each retry of a program. \sa drawOf
     */
    bool admits(const ServiceLoad &load, std::uint32_t priority, double draw) const;
    /** \brief Share of the new programs of a priority that are refused. */
    double refusedShare(const ServiceLoad &load, std::uint32_t priority) const;

    /** \brief Draw derived from the program's id, equal on all nodes. */
    static double drawOf(const std::string &program);

private:
    AdmissionSettings settings_;
};

} // namespace filbertgw

#endif

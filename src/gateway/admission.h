#ifndef FILBERTGW_GATEWAY_ADMISSION_H
#define FILBERTGW_GATEWAY_ADMISSION_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief How loaded a service is. */
struct ServiceLoad
{
    double requestsPerSlot_ = 0.0; ///< Requests for each slot, over all nodes and endpoints.
    double slowdown_ = 1.0; ///< Time of a request, against its time on an idle endpoint.
    std::optional<double> allowedSlowdown_; ///< Stretch at which programs are just in time, if it is known.
    double slotsPerEndpoint_ = 16.0; ///< Of an endpoint.
};

/** \brief Load of a service between which new programs are refused, by the rank of their route. */
struct AdmissionSettings
{
    /**
     * Part of the slots that must stay free so that few turns wait, times the square root of the slots of an endpoint:
     * the fewer slots share a queue, the sooner they are all taken by chance. From there on new programs of the lowest
     * rank are refused.
     */
    double headroomFactor_ = 0.6;
    /** Span over which the refused share grows from nothing to all. */
    double refusalRange_ = 0.4;
    /** How much later it begins for the most important rank. */
    double highPriorityOffset_ = 0.25;
    /** Stretch, in parts of the allowed one, from which new programs are refused. */
    double slowdownThreshold_ = 0.75;
    /** Span over which the share that is refused for it grows from nothing to all. */
    double slowdownRange_ = 0.35;
    /** How much later it begins for the most important rank. */
    double highPrioritySlowdownOffset_ = 0.1;
    /** Stretch up to which nothing is refused for it: programs that are late then are so for other reasons. */
    double minSlowdown_ = 1.7;
};

/**
 * \brief Decides whether a new program may start.
 *
 * Answers the load of a burst beyond what the engines can serve, or of engines that have turned slow: programs under
 * way would all be late, so that some new ones are refused before anything was spent on them, the less important first.
 * A program that is refused comes back within the same burst. With the same draw it gets the same answer while the load
 * is the same; with another one it would be let in at last, when its time is used up.
 */
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);

    /**
     * \brief Whether a program whose first turn arrives is admitted.
     * \param rank of the route, 0 for the most important.
     * \param draw uniformly distributed from 0 to 1, the same at each try of a program. \sa drawOf
     */
    bool admits(const ServiceLoad &load, std::uint32_t priority, double draw) const;

    /** \brief The draw of a program, the same at every node. */
    static double drawOf(const std::string &program);

private:
    AdmissionSettings settings_;
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_GATEWAY_ADMISSION_H
#define FILBERTGW_GATEWAY_ADMISSION_H

#include "core/time.h"

#include <cstdint>

namespace filbertgw {

/** \brief Load of a service between which new programs are refused, by the rank of their route. */
struct AdmissionSettings
{
    /** Requests for each slot, over all nodes and endpoints, from which new programs of the lowest rank are refused. */
    double refuseFrom_ = 0.9;
    /** Span over which the refused share grows from nothing to all. */
    double refuseSpan_ = 0.4;
    /** How much later it begins for the most important rank. */
    double importantLater_ = 0.25;
};

/**
 * \brief Decides whether a new program may start.
 *
 * Answers the load of a burst beyond what the engines can serve: programs under way would all be late, so that some
 * new ones are refused before anything was spent on them, the less important first.
 */
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);

    /**
     * \brief Whether a program whose first turn arrives is admitted.
     * \param load requests for each slot of the service.
     * \param rank of the route, 0 for the most important.
     * \param draw uniformly distributed from 0 to 1.
     */
    bool admits(double load, std::uint32_t rank, double draw) const;

private:
    AdmissionSettings settings_;
};

} // namespace filbertgw

#endif

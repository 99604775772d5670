#include "placement/admission.h"

#include "core/numbers.h"
#include "core/stablehash.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

Admission::Admission(AdmissionSettings settings)
    : settings_(settings)
{
}

bool Admission::admits(const ServiceLoad &load, std::uint32_t priority, double draw) const
{
    return draw >= refusedShare(load, priority);
}

double Admission::refusedShare(const ServiceLoad &load, std::uint32_t priority) const
{
    const double headroom = settings_.headroomFactor_ / std::sqrt(std::max(1.0, load.slotsPerEndpoint_));
    const double threshold = 1.0 - headroom + (priority == 0 ? settings_.highPriorityOffset_ : 0.0);
    double refusalProbability = (load.requestsPerSlot_ - threshold) / settings_.refusalRange_;
    if (load.allowedSlowdown_ && load.slowdown_ > settings_.minSlowdown_) {
        const double slowdownThreshold =
            settings_.slowdownThreshold_ + (priority == 0 ? settings_.highPrioritySlowdownOffset_ : 0.0);
        refusalProbability =
            std::max(refusalProbability,
                     (load.slowdown_ / *load.allowedSlowdown_ - slowdownThreshold) / settings_.slowdownRange_);
    }
    return std::clamp(refusalProbability, 0.0, 1.0);
}

double Admission::drawOf(const std::string &program)
{
    return unitInterval(stableHash(program));
}

} // namespace filbertgw

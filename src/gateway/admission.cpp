#include "gateway/admission.h"

#include <algorithm>

namespace filbertgw {

Admission::Admission(AdmissionSettings settings)
    : settings_(settings)
{
}

bool Admission::admits(const ServiceLoad &load, std::uint32_t rank, double draw) const
{
    const double from = settings_.refuseFrom_ + (rank == 0 ? settings_.importantLater_ : 0.0);
    double refused = (load.perSlot_ - from) / settings_.refuseSpan_;
    if (load.allowedStretch_ && load.stretch_ > settings_.leastStretch_) {
        const double stretchFrom = settings_.stretchFrom_ + (rank == 0 ? settings_.stretchImportantLater_ : 0.0);
        refused = std::max(refused, (load.stretch_ / *load.allowedStretch_ - stretchFrom) / settings_.stretchSpan_);
    }
    return draw >= std::clamp(refused, 0.0, 1.0);
}

} // namespace filbertgw

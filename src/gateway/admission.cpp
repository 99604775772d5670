#include "gateway/admission.h"

#include "core/numbers.h"
#include "core/stablehash.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

Admission::Admission(AdmissionSettings settings)
    : settings_(settings)
{
}

bool Admission::admits(const ServiceLoad &load, std::uint32_t rank, double draw) const
{
    const double spare = settings_.spareFactor_ / std::sqrt(std::max(1.0, load.slots_));
    const double from = 1.0 - spare + (rank == 0 ? settings_.importantLater_ : 0.0);
    double refused = (load.perSlot_ - from) / settings_.refuseSpan_;
    if (load.allowedStretch_ && load.stretch_ > settings_.leastStretch_) {
        const double stretchFrom = settings_.stretchFrom_ + (rank == 0 ? settings_.stretchImportantLater_ : 0.0);
        refused = std::max(refused, (load.stretch_ / *load.allowedStretch_ - stretchFrom) / settings_.stretchSpan_);
    }
    return draw >= std::clamp(refused, 0.0, 1.0);
}

double Admission::drawOf(const std::string &program)
{
    return unitInterval(stableHash(program));
}

} // namespace filbertgw

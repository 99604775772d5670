#include "gateway/admission.h"

#include <algorithm>

namespace filbertgw {

Admission::Admission(AdmissionSettings settings)
    : settings_(settings)
{
}

bool Admission::admits(double load, std::uint32_t rank, double draw) const
{
    const double from = settings_.refuseFrom_ + (rank == 0 ? settings_.importantLater_ : 0.0);
    const double refused = std::clamp((load - from) / settings_.refuseSpan_, 0.0, 1.0);
    return draw >= refused;
}

} // namespace filbertgw

#include "placement/admission.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

/** \brief A load and the expected range of the admitted share of new programs. */
struct AdmissionCase
{
    const char *name_;
    ServiceLoad load_;
    std::uint32_t priority_;
    double minShare_;
    double maxShare_;
};

class AdmissionLoad : public testing::TestWithParam<AdmissionCase>
{
};

// Guards against refusals below capacity, and against bursts in which every program misses its deadline.
TEST_P(AdmissionLoad, RefusesByLoadAndPriority)
{
    const Admission admission{AdmissionSettings()};
    constexpr int draws = 1000;
    int admitted = 0;
    for (int i = 0; i < draws; ++i) {
        admitted += admission.admits(GetParam().load_, GetParam().priority_, (i + 0.5) / draws) ? 1 : 0;
    }
    EXPECT_GE(admitted, GetParam().minShare_ * draws);
    EXPECT_LE(admitted, GetParam().maxShare_ * draws);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         AdmissionLoad,
                         testing::Values(AdmissionCase{"HalfFull", {0.5, 1.0, {}}, 1, 1.0, 1.0},
                                         AdmissionCase{"AlmostFull", {0.85, 1.0, {}}, 1, 1.0, 1.0},
                                         AdmissionCase{"BeyondFullLowPriority", {1.1, 1.0, {}}, 1, 0.3, 0.7},
                                         AdmissionCase{"BeyondFullHighPriority", {1.1, 1.0, {}}, 0, 1.0, 1.0},
                                         AdmissionCase{"FewSlotsThreeQuartersFull", {0.75, 1.0, {}, 6.0}, 1, 1.0, 1.0},
                                         AdmissionCase{"FewSlotsFull", {1.0, 1.0, {}, 6.0}, 1, 0.3, 0.7},
                                         AdmissionCase{"ManySlotsAlmostFull", {0.92, 1.0, {}, 64.0}, 1, 1.0, 1.0},
                                         AdmissionCase{"OneSlotOneThirdFull", {0.35, 1.0, {}, 1.0}, 1, 1.0, 1.0},
                                         AdmissionCase{"FarBeyondLowPriority", {1.5, 1.0, {}}, 1, 0.0, 0.0},
                                         AdmissionCase{"FarBeyondHighPriority", {1.6, 1.0, {}}, 0, 0.0, 0.1},
                                         AdmissionCase{"SlowedButInTime", {0.3, 3.0, 6.0}, 1, 1.0, 1.0},
                                         AdmissionCase{"SlowedNothingKnown", {0.3, 9.0, {}}, 1, 1.0, 1.0},
                                         AdmissionCase{"LateOnIdleEngines", {0.3, 1.4, 1.0}, 1, 1.0, 1.0},
                                         AdmissionCase{"AlmostLateLowPriority", {0.3, 3.0, 3.3}, 1, 0.3, 0.7},
                                         AdmissionCase{"AlmostLateHighPriority", {0.3, 3.0, 3.3}, 0, 0.6, 0.99},
                                         AdmissionCase{"LateLowPriority", {0.3, 6.0, 3.0}, 1, 0.0, 0.0},
                                         AdmissionCase{"LateHighPriority", {0.3, 6.0, 3.0}, 0, 0.0, 0.0}),
                         [](const testing::TestParamInfo<AdmissionCase> &info) { return info.param.name_; });

} // namespace filbertgw::test

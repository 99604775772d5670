#include "core/boundedlabels.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

// Guards against a metric whose series grow with the number of accounts, and against names that break its text.
TEST(BoundedLabels, LimitTheValuesAndTheirCharacters)
{
    BoundedLabels labels("account", 2);
    EXPECT_EQ(labels.labelOf("a"), "account=\"a\"");
    EXPECT_EQ(labels.labelOf("b\"\\"), "account=\"b__\"");
    EXPECT_EQ(labels.labelOf("c"), "account=\"other\"");
    EXPECT_EQ(labels.labelOf("a"), "account=\"a\"");
}

} // namespace filbertgw::test

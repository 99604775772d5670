#include "core/failure.h"

#include <gtest/gtest.h>

#include <set>

using namespace filbertgw;

// Guards against a failure type whose name can't be parsed, and against two types with the same name.
TEST(NameTable, FailureTypesRoundTrip)
{
    std::set<std::string_view> seen;
    for (const std::pair<FailureType, std::string_view> &entry : NameTable<FailureType>::entries) {
        EXPECT_EQ(valueOf<FailureType>(nameOf(entry.first)), entry.first);
        EXPECT_TRUE(seen.insert(entry.second).second) << entry.second;
    }
    EXPECT_FALSE(valueOf<FailureType>("no_such_type").has_value());
}

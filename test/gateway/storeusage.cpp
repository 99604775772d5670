#include "store/storeusage.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

StoreCall callTo(const std::string &stream, StoreStatus status, Duration time, Duration wait)
{
    StoreCall call;
    call.kind_ = "newest";
    call.stream_ = stream;
    call.status_ = status;
    call.bytes_ = 100;
    call.time_ = time;
    call.wait_ = wait;
    return call;
}

} // namespace

// Guards against separate totals for streams of one family, and against long-poll time counted as a slow store.
TEST(StoreUsage, SumsUpByKindAndFamily)
{
    StoreUsage usage;
    usage.add(callTo("turns-3", StoreStatus::Ok, Duration{5'000}, Duration{0}));
    usage.add(callTo("turns-11", StoreStatus::Unknown, Duration{700'000}, Duration{0}));
    usage.add(callTo("ledger", StoreStatus::Ok, Duration{310'000}, Duration{300'000}));
    const std::vector<nlohmann::json> lines = usage.take();
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0]["stream"], "ledger");
    EXPECT_EQ(lines[0]["longest_ms"], 10.0);
    EXPECT_EQ(lines[1]["stream"], "turns");
    EXPECT_EQ(lines[1]["calls"], 2);
    EXPECT_EQ(lines[1]["failed"], 1);
    EXPECT_EQ(lines[1]["bytes"], 200);
    EXPECT_TRUE(usage.take().empty());
}

} // namespace filbertgw::test

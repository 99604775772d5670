#include "core/cbor.h"

#include "fleet/fleetmessage.h"
#include "ledger/retainedturn.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

/** A list that claims to have 2^62 entries. */
const std::string hugeList = std::string("\x9b\x40", 2) + std::string(7, '\0');

/** \brief Bytes that another process may have left where a CBOR item is expected. */
struct OddItem
{
    const char *name_;
    std::string bytes_;
};

} // namespace

class OddCbor : public testing::TestWithParam<OddItem>
{
};

// Guards against a record or a datagram that ends the node by recursion, by an exception or by what it claims to hold.
TEST_P(OddCbor, IsRefused)
{
    EXPECT_TRUE(decodeCbor(GetParam().bytes_).is_discarded());
    EXPECT_FALSE(decodeFleetMessage(GetParam().bytes_).has_value());
    EXPECT_FALSE(RetainedTurn::decode(GetParam().bytes_).has_value());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OddCbor,
                         testing::Values(OddItem{"Empty", ""},
                                         OddItem{"NestedLists", std::string(260'000, '\x81')},
                                         OddItem{"NestedListsWithAnEnd", std::string(100'000, '\x81') + '\x01'},
                                         OddItem{"NestedTags", std::string(260'000, '\xc1')},
                                         OddItem{"EndlessList", std::string(1'000, '\x9f')},
                                         OddItem{"HugeList", hugeList},
                                         OddItem{"HugeText", std::string("\x7b\x7f") + std::string(7, '\xff')},
                                         OddItem{"Torn", "\xa1\x61"}),
                         [](const testing::TestParamInfo<OddItem> &info) { return info.param.name_; });

// Guards against deep values that are taken over: copying and writing them is recursive.
TEST(DecodeJson, LeavesDeepValuesOut)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const nlohmann::json value = decodeJson("{\"a\":7,\"b\":" + deep + "}");
    ASSERT_TRUE(value.is_object());
    EXPECT_EQ(value["a"], 7);
    EXPECT_LT(value.dump().size(), 1'000U);
    EXPECT_TRUE(decodeJson("{\"a\":").is_discarded());
}

} // namespace filbertgw::test

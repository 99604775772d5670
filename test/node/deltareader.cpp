#include "node/deltareader.h"

#include <gtest/gtest.h>

using filbertgw::DeltaReader;

namespace {

struct DeltaCase
{
    const char *name_;
    const char *event_;
    std::optional<std::string> text_;
};

class DeltaReaderTest : public testing::TestWithParam<DeltaCase>
{
};

} // namespace

// Guards against text that is taken from another place than the first choice, and against a usage, an error or a reason
// to finish that is passed over because the event was not read as a whole.
TEST_P(DeltaReaderTest, TakesTextOnlyWhereNothingElseCounts)
{
    DeltaReader reader;
    EXPECT_EQ(reader.read(GetParam().event_), GetParam().text_);
    EXPECT_EQ(reader.read(R"({"choices":[{"delta":{"content":"next"}}]})"), "next");
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    DeltaReaderTest,
    testing::Values(
        DeltaCase{
            "Text",
            R"({"id":"r","choices":[{"index":0,"delta":{"content":"a\n\u00e9"},"finish_reason":null}],"usage":null})",
            "a\n\u00e9"},
        DeltaCase{"RoleOnly", R"({"choices":[{"delta":{"role":"assistant"}}]})", ""},
        DeltaCase{"SecondChoice", R"({"choices":[{"delta":{}},{"delta":{"content":"b"},"finish_reason":"stop"}]})", ""},
        DeltaCase{"NullBeforeAChoice", R"({"choices":[null,{"delta":{"content":"b"}}]})", ""},
        DeltaCase{"OtherContent", R"({"content":"x","delta":{"content":"y"},"choices":[{"content":"z"}]})", ""},
        DeltaCase{"DeeperContent", R"({"choices":[{"delta":{"tool":{"content":"x"},"content":"a"}}]})", "a"},
        DeltaCase{"ContentTwice", R"({"choices":[{"delta":{"content":"a","content":"b"}}]})", std::nullopt},
        DeltaCase{"Finished", R"({"choices":[{"delta":{},"finish_reason":"cancelled"}]})", std::nullopt},
        DeltaCase{"Usage", R"({"choices":[],"usage":{"prompt_tokens":3}})", std::nullopt},
        DeltaCase{"Error", R"({"error":null})", std::nullopt},
        DeltaCase{"NoObject", R"([1])", std::nullopt},
        DeltaCase{"Scalar", "null", std::nullopt},
        DeltaCase{"CutOff", R"({"choices":[{"delta":{"content":"a"})", std::nullopt},
        DeltaCase{"TrailingText", R"({"choices":[]} x)", std::nullopt}),
    [](const testing::TestParamInfo<DeltaCase> &info) { return info.param.name_; });

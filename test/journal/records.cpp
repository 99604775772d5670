#include "journal/record.h"

#include <gtest/gtest.h>

#include <string>

using namespace filbertgw;
using nlohmann::json;

namespace {

json validRecord(const std::string &type, const json &body)
{
    return {{"id", "n1.a#1"},
            {"schema", 1},
            {"type", type},
            {"program", "p0010000000000000001"},
            {"node", "n1"},
            {"fencing", 7},
            {"body", body}};
}

const json spend = {{"tokens", 5}, {"calls", 1}, {"money_micros", 2}};
const json turn = {{"sequence", 3},
                   {"status", "answered"},
                   {"request_id", "r1"},
                   {"request_hash", "h"},
                   {"content_hash", "c"},
                   {"kind", "model"},
                   {"target", "m"},
                   {"input", "in"},
                   {"answer", "out"},
                   {"usage", spend},
                   {"endpoint", "e1"},
                   {"reserved_ahead", spend},
                   {"spent", spend}};

struct RoundTripCase
{
    const char *type_;
    json body_;
};

class RecordRoundTrip : public testing::TestWithParam<RoundTripCase>
{
};

} // namespace

// Guards against losing a known or unknown field when a record is parsed and written again.
TEST_P(RecordRoundTrip, KeepsEveryField)
{
    json record = validRecord(GetParam().type_, GetParam().body_);
    record["colour"] = {{"new", true}};
    record["body"]["shape"] = "round";
    std::string error;
    const std::optional<Record> parsed = parseRecord(record, error);
    ASSERT_TRUE(parsed.has_value()) << error;
    EXPECT_EQ(toJson(*parsed), record);
}

INSTANTIATE_TEST_SUITE_P(
    Types,
    RecordRoundTrip,
    testing::Values(RoundTripCase{"claim", {{"supersedes", 4}, {"reserved_ahead", spend}}},
                    RoundTripCase{"create",
                                  {{"request_id", "c1"},
                                   {"account", "a"},
                                   {"parent", "p0010000000000000000"},
                                   {"budget", spend},
                                   {"deadline_us", 9},
                                   {"max_turns", 200},
                                   {"reserved_ahead", spend},
                                   {"spent", spend}}},
                    RoundTripCase{"reserve", {{"reserved", spend}, {"spent", spend}}},
                    RoundTripCase{"intent",
                                  {{"request_id", "r1"},
                                   {"request_hash", "h"},
                                   {"kind", "tool"},
                                   {"target", "t"},
                                   {"input", "i"},
                                   {"reserved", spend},
                                   {"spent", spend}}},
                    RoundTripCase{"turn", turn},
                    RoundTripCase{"outcome", turn},
                    RoundTripCase{"checkpoint", {{"covers", 3}, {"idle", true}, {"state", {{"a", 1}}}}},
                    RoundTripCase{"release", {{"spent", spend}}},
                    RoundTripCase{"end", {{"reason", "loop_detected"}}},
                    RoundTripCase{"quarantine", {{"content_hash", "c"}, {"convicted", true}}}),
    [](const testing::TestParamInfo<RoundTripCase> &info) { return std::string(info.param.type_); });

namespace {

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string recordWith(const std::string &field, const json &value)
{
    json record = validRecord("turn", turn);
    record[json::json_pointer(field)] = value;
    return record.dump();
}

struct MalformedCase
{
    const char *name_;
    std::string text_;
};

class MalformedRecord : public testing::TestWithParam<MalformedCase>
{
};

} // namespace

// Guards against a malformed log entry that terminates the process or is accepted as a record.
TEST_P(MalformedRecord, IsRefusedWithAReason)
{
    std::string error;
    EXPECT_FALSE(parseRecordText(GetParam().text_, error).has_value());
    EXPECT_FALSE(error.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    MalformedRecord,
    testing::Values(MalformedCase{"Empty", ""},
                    MalformedCase{"NotJson", "turn"},
                    MalformedCase{"Truncated", validRecord("turn", turn).dump().substr(0, 120)},
                    MalformedCase{"TruncatedString", R"({"id":"n1)"},
                    MalformedCase{"Array", "[1,2]"},
                    MalformedCase{"NoId", R"({"schema":1})"},
                    MalformedCase{"EmptyId", recordWith("/id", "")},
                    MalformedCase{"LongId", recordWith("/id", std::string(300, 'x'))},
                    MalformedCase{"SchemaText", recordWith("/schema", "1")},
                    MalformedCase{"SchemaNegative", recordWith("/schema", -1)},
                    MalformedCase{"SchemaTooLarge", recordWith("/schema", 1ULL << 40U)},
                    MalformedCase{"UnknownType", recordWith("/type", "wish")},
                    MalformedCase{"FencingNegative", recordWith("/fencing", -5)},
                    MalformedCase{"FencingFloat", recordWith("/fencing", 1.5)},
                    MalformedCase{"BodyNull", recordWith("/body", nullptr)},
                    MalformedCase{"BodyText", recordWith("/body", "x")},
                    MalformedCase{"SequenceText", recordWith("/body/sequence", "3")},
                    MalformedCase{"UnknownStatus", recordWith("/body/status", "maybe")},
                    MalformedCase{"UnknownKind", recordWith("/body/kind", 3)},
                    MalformedCase{"UsageNegative", recordWith("/body/usage/tokens", -1)},
                    MalformedCase{"UsageHuge", recordWith("/body/usage/tokens", 1ULL << 62U)},
                    MalformedCase{"UsageMissing", recordWith("/body/usage", {{"tokens", 1}})},
                    MalformedCase{"AnswerNumber", recordWith("/body/answer", 5)},
                    MalformedCase{"DeepArray", R"({"id":"a","schema":1,"x":)" + nestedArrays(200) + "}"},
                    MalformedCase{"VeryDeep", nestedArrays(200'000)},
                    MalformedCase{"DeepUnknownField", recordWith("/body/extra", json::parse(nestedArrays(24)))},
                    MalformedCase{"Oversized", recordWith("/body/answer", std::string(maxRecordBytes, 'a'))}),
    [](const testing::TestParamInfo<MalformedCase> &info) { return std::string(info.param.name_); });

// Guards against a crash on corrupt input: parses every prefix of a record, and the record with each byte replaced.
TEST(MalformedRecords, DamagedBytesNeverEndTheProcess)
{
    const std::string text = validRecord("turn", turn).dump();
    std::size_t accepted = 0;
    std::string error;
    for (std::size_t i = 0; i < text.size(); ++i) {
        EXPECT_FALSE(parseRecordText(text.substr(0, i), error).has_value()) << i;
        for (const char replacement : {'"', '{', '\0', '9', '\xff'}) {
            std::string damaged = text;
            damaged[i] = replacement;
            const std::optional<Record> parsed = parseRecordText(damaged, error);
            accepted += parsed.has_value() ? 1 : 0;
            if (parsed) {
                EXPECT_TRUE(parseRecord(toJson(*parsed), error).has_value()) << damaged;
            }
        }
    }
    EXPECT_GT(accepted, 0U);
}

// Guards against rejecting a record with a newer schema as malformed because its body has another format.
TEST(NewerSchema, OnlyItsHeadIsParsed)
{
    std::string error;
    const std::optional<Record> parsed =
        parseRecordText(R"({"id":"n1.a#5","schema":2,"type":"wish","program":"p","body":[1,2]})", error);
    ASSERT_TRUE(parsed.has_value()) << error;
    EXPECT_EQ(parsed->schema_, 2U);
    EXPECT_EQ(parsed->program_, ProgramId("p"));
}

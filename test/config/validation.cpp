#include "config/accountkeys.h"
#include "config/publication.h"
#include "configtestkit.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

using namespace filbertgw;
using namespace filbertgw::configtest;

namespace {

nlohmann::json recordOf(const std::string &kind, int schema, const nlohmann::json &body)
{
    const std::string name = kind == "weights" ? "default" : "x";
    return {{"kind", kind}, {"name", name}, {"schema", schema}, {"id", "i"}, {"replaces", 0}, {"body", body}};
}

nlohmann::json toolOf(const nlohmann::json &more)
{
    nlohmann::json body{{"kind", "tool"}, {"address", "10.0.0.1:80"}, {"domain", "d"}};
    body.update(more);
    return body;
}

nlohmann::json nested(int depth)
{
    nlohmann::json value = 1;
    for (int i = 0; i < depth; ++i) {
        value = nlohmann::json::array({value});
    }
    return value;
}

struct ValidationCase
{
    const char *name_;
    nlohmann::json record_;
    std::vector<std::string> errors_; ///< Prefixes of the expected errors, in order.
};

const std::string hash = saltedKeyHash("0011223344556677", "x.secret");

const std::vector<ValidationCase> validationCases{
    {"Valid", recordOf("model", 1, {{"unknown", 1}}), {}},
    {"NotAnObject", 7, {"the record is not an object"}},
    {"Empty",
     nlohmann::json::object(),
     {"kind is missing", "name is missing", "id is missing", "schema is missing", "replaces is missing"}},
    {"WrongHeader",
     {{"kind", 1}, {"name", "a b"}, {"id", ""}, {"schema", 0}, {"replaces", -1}, {"removed", 1}},
     {"kind is not", "name is not", "id is not", "schema is not", "replaces is not", "removed is not"}},
    {"UnknownKind", recordOf("planet", 1, {}), {"unknown_kind"}},
    {"UnknownSchema", recordOf("model", 3, {}), {"unknown_schema"}},
    {"TooDeep", recordOf("model", 1, {{"x", nested(5000)}}), {"the record is nested too deeply"}},
    {"TooLarge", recordOf("model", 1, {{"x", std::string(maxRecordBytes, 'x')}}), {"the record is larger"}},
    {"RemovalNeedsNoBody",
     {{"kind", "model"}, {"name", "x"}, {"id", "i"}, {"schema", 1}, {"replaces", 0}, {"removed", true}},
     {}},
    {"ModelBounds",
     recordOf("model", 1, {{"default_max_tokens", 0}, {"price_micros_per_token", 1.5}}),
     {"body.default_max_tokens is not", "body.price_micros_per_token is not"}},
    {"HugeNumber", recordOf("model", 1, {{"price_micros_per_token", 18446744073709551615ULL}}), {"body.price"}},
    {"EngineNeedsModels",
     recordOf("endpoint", 1, {{"kind", "model"}, {"address", "h:0"}, {"domain", ""}}),
     {"body.address is not", "body.domain is not", "body.models is missing"}},
    {"EndpointKind", recordOf("endpoint", 1, toolOf({{"kind", "oracle"}})), {"body.kind is not"}},
    {"Schema1Lists", recordOf("endpoint", 1, toolOf({{"operations", {"a", "b"}}, {"non_idempotent", {"a"}}})), {}},
    {"Schema1StrayName",
     recordOf("endpoint", 1, toolOf({{"operations", {"a"}}, {"non_idempotent", {"b"}}})),
     {"body.non_idempotent names \"b\""}},
    {"Schema1WithTable",
     recordOf("endpoint", 1, toolOf({{"operations", {{"a", {{"idempotent", true}}}}}})),
     {"body.operations is not a list"}},
    {"Schema2Table", recordOf("endpoint", 2, toolOf({{"operations", {{"a", {{"idempotent", true}}}}}})), {}},
    {"Schema2WithList", recordOf("endpoint", 2, toolOf({{"operations", {"a"}}})), {"body.operations is not an object"}},
    {"Schema2NeedsIdempotent",
     recordOf("endpoint", 2, toolOf({{"operations", {{"a", {{"price_micros", -1}}}, {"b", 1}}}})),
     {"body.operations.a.idempotent is missing", "body.operations.a.price_micros is not", "body.operations.b is not"}},
    {"Schema2WithOldList",
     recordOf("endpoint", 2, toolOf({{"operations", {{"a", {{"idempotent", true}}}}}, {"non_idempotent", {"a"}}})),
     {"body.non_idempotent belongs to schema 1"}},
    {"Account", recordOf("account", 1, {{"keys", {hash}}, {"requests_per_second", 0.5}}), {}},
    {"AccountPlainKey", recordOf("account", 1, {{"keys", {"secret"}}}), {"body.keys has an item"}},
    {"AccountNoKeys", recordOf("account", 1, {{"keys", nlohmann::json::array()}}), {"body.keys has 0 items"}},
    {"TemplateBudget",
     recordOf("template", 1, {{"budget", {{"tokens", 1}}}, {"max_turns", 0}}),
     {"body.max_turns is not", "body.budget.calls is missing", "body.budget.money_micros is missing"}},
    {"Weights",
     recordOf("weights", 1, {{"latency", "1"}, {"wasted_cache", -1}}),
     {"body.latency is not", "body.wasted_cache is not"}},
    {"CopyMadeByHand", with(recordOf("model", 1, {{"x", 1}}), "origin", 1), {"origin is set by nodes only"}},
    {"Drain", recordOf("drain", 1, nlohmann::json::object()), {"body.draining is missing"}},
};

} // namespace

class Validation : public testing::TestWithParam<ValidationCase>
{
};

// Guards against invalid records that pass, valid ones that don't, and validation that stops at the first error.
TEST_P(Validation, ReportsEveryErrorAtOnce)
{
    const std::vector<Failure> failures = validateRecord(GetParam().record_);
    ASSERT_EQ(failures.size(), GetParam().errors_.size());
    for (std::size_t i = 0; i < failures.size(); ++i) {
        EXPECT_EQ(failures[i].detail_.rfind(GetParam().errors_[i], 0), 0U) << failures[i].detail_;
        EXPECT_EQ(failures[i].type_, FailureType::InvalidRequest);
    }
    ConfigSection section;
    ConfigFold fold(section);
    const FoldResult result = fold.fold(LogEntry{1, Time(0), GetParam().record_});
    EXPECT_EQ(result == FoldResult::Accepted, failures.empty()) << "check and the fold disagree";
}

INSTANTIATE_TEST_SUITE_P(Records,
                         Validation,
                         testing::ValuesIn(validationCases),
                         [](const testing::TestParamInfo<ValidationCase> &info) {
                             return std::string(info.param.name_);
                         });

struct SampleCase
{
    const char *deployment_;
    std::size_t engines_;
    std::size_t services_;
    std::vector<std::string> nonIdempotent_;
    const char *bearer_;
};

class Samples : public testing::TestWithParam<SampleCase>
{
};

// Guards against sample records that can't be published or that lack a non-idempotent operation.
TEST_P(Samples, ArePublishableAndDescribeTheDeployment)
{
    Publication publication;
    const std::filesystem::path folder =
        std::filesystem::path(FILBERTGW_TEST_DIR).parent_path() / "demos" / GetParam().deployment_;
    Offset offset = 0;
    for (const std::filesystem::directory_entry &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream stream(file.path());
        const RecordId id("sample-" + std::to_string(offset));
        const PreparedRecord prepared = publication.prepare(nlohmann::json::parse(stream), id);
        for (const Failure &failure : prepared.errors_) {
            ADD_FAILURE() << file.path() << ": " << failure.detail_;
        }
        ++offset;
        publication.onPage(LogPage{1, offset + 1, {LogEntry{offset, Time(0), prepared.record_}}});
        EXPECT_EQ(publication.outcome(id)->result_, FoldResult::Accepted);
    }
    const ConfigSection &section = publication.section();
    std::map<CallKind, std::size_t> kinds;
    for (const auto &endpoint : section.endpoints_) {
        ++kinds[endpoint.second.kind_];
    }
    EXPECT_EQ(kinds[CallKind::Model], GetParam().engines_);
    EXPECT_EQ(kinds[CallKind::Tool] + kinds[CallKind::Service], GetParam().services_);
    std::vector<std::string> nonIdempotent;
    for (const auto &operation : section.operations_) {
        if (!operation.second.idempotent_) {
            nonIdempotent.push_back(operation.first);
        }
    }
    EXPECT_EQ(nonIdempotent, GetParam().nonIdempotent_);
    EXPECT_TRUE(authenticate(section, GetParam().bearer_));
    EXPECT_FALSE(section.templates_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Deployments,
    Samples,
    testing::Values(SampleCase{"kochuveli", 14, 8, {"extension-letter", "salary-order"}, "office-tvm.demo"},
                    SampleCase{"scalisi", 12, 7, {"buyer-invoice", "lot-release"}, "auditors.demo"}),
    [](const testing::TestParamInfo<SampleCase> &info) { return std::string(info.param.deployment_); });

// Guards against a draft that overwrites a version its author hasn't read, or sets fields reserved for nodes.
TEST(Prepare, FillsInAndRefuses)
{
    Publication publication;
    publication.onPage(LogPage{1, 2, {LogEntry{1, Time(0), modelRecord("m", "a", 0, 1)}}});
    nlohmann::json draft{{"kind", "model"}, {"name", "m"}, {"body", nlohmann::json::object()}};
    const PreparedRecord prepared = publication.prepare(draft, RecordId("fresh"));
    EXPECT_TRUE(prepared.errors_.empty());
    EXPECT_EQ(prepared.record_["replaces"], 1);
    EXPECT_EQ(prepared.record_["id"], "fresh");
    EXPECT_EQ(prepared.record_["schema"], newestSchema);
    draft["origin"] = 1;
    draft["replaces"] = "x";
    EXPECT_EQ(publication.prepare(draft, RecordId("fresh")).errors_.size(), 2U);
    EXPECT_EQ(publication.prepare(nlohmann::json(), RecordId("fresh")).errors_.size(), 1U);
}

#include "core/logger.h"
#include "core/metrics.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace filbertgw;

namespace {

struct LineCase
{
    const char *name_;
    nlohmann::json fields_;
    const char *line_;
};

class LogLineTest : public testing::TestWithParam<LineCase>
{
};

} // namespace

// Guards against values that break a log line in two or forge fields, and against secrets in the log.
TEST_P(LogLineTest, Formats)
{
    EXPECT_EQ(formatLogFields("call_done", GetParam().fields_), GetParam().line_);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    LogLineTest,
    testing::Values(
        LineCase{
            "Order", {{"a", 1}, {"request", "r1"}, {"program", "p1"}}, "event=call_done program=p1 request=r1 a=1"},
        LineCase{"Quotes", {{"a", "x y"}, {"b", ""}}, "event=call_done a=\"x y\" b=\"\""},
        LineCase{"Newline", {{"a", "x\nevent=y"}}, "event=call_done a=\"x\\nevent=y\""},
        LineCase{"Secret", {{"api_key", "k"}, {"authorization", "k"}}, "event=call_done api_key=*** authorization=***"},
        LineCase{"NotUtf8", {{"a", "\xff\x01"}}, "event=call_done a=\"\\ufffd\\u0001\""}),
    [](const testing::TestParamInfo<LineCase> &info) { return info.param.name_; });

// Guards against buckets that aren't cumulative and against a missing first or last bucket.
TEST(Metrics, HistogramIsCumulative)
{
    Metrics metrics;
    metrics.count("calls_total", "kind=\"model\"", 2);
    metrics.observe("call_seconds", Duration(500));
    metrics.observe("call_seconds", Duration(1'500));
    metrics.observe("call_seconds", Duration(3'000'000'000));
    const std::string text = metrics.text();
    EXPECT_NE(text.find("filbertgw_calls_total{kind=\"model\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("filbertgw_call_seconds_bucket{le=\"0.001\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("filbertgw_call_seconds_bucket{le=\"0.002\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("filbertgw_call_seconds_bucket{le=\"1048.58\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("filbertgw_call_seconds_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
}

#include "node/streamdeduplicator.h"

#include "node/ssereader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace filbertgw;

namespace {

/** \brief One stream: the text parts of each run of a call, the final text, and what is sent to the caller. */
struct StreamCase
{
    const char *name_;
    std::vector<std::vector<std::string>> runs_;
    std::string final_;
    std::string sent_; ///< `|` stands for a restart event.
};

class StreamDeduplicatorTest : public testing::TestWithParam<StreamCase>
{
};

std::string format(const StreamDeduplicator::Update &update)
{
    return (update.restart_ ? "|" : "") + update.text_;
}

} // namespace

// Guards against text that a caller gets twice or never when a call is run again.
TEST_P(StreamDeduplicatorTest, CallerEndsWithWholeAnswer)
{
    StreamDeduplicator text;
    std::string sent;
    for (const std::vector<std::string> &run : GetParam().runs_) {
        text.rerun();
        for (const std::string &part : run) {
            sent += format(text.add(part));
        }
    }
    sent += format(text.complete(GetParam().final_));
    EXPECT_EQ(sent, GetParam().sent_);
    EXPECT_EQ(sent.substr(sent.rfind('|') + 1), GetParam().final_);
}

INSTANTIATE_TEST_SUITE_P(Rows,
                         StreamDeduplicatorTest,
                         testing::Values(StreamCase{"OneRun", {{"ab", "cd"}}, "abcd", "abcd"},
                                         StreamCase{"SamePrefix", {{"ab"}, {"a", "bcd"}}, "abcd", "abcd"},
                                         StreamCase{"RerunShorterSoFar", {{"abc"}, {"a"}}, "abcd", "abcd"},
                                         StreamCase{"OtherPrefix", {{"ab"}, {"a", "x", "y"}}, "axy", "ab|axy"},
                                         StreamCase{"OtherFinal", {{"ab"}}, "xy", "ab|xy"},
                                         StreamCase{"FinalShorter", {{"abcd"}}, "ab", "abcd|ab"},
                                         StreamCase{"FinalOnly", {}, "abcd", "abcd"},
                                         StreamCase{"TwoRestarts", {{"a"}, {"b"}, {"c"}}, "cd", "a|b|cd"}),
                         [](const testing::TestParamInfo<StreamCase> &info) { return info.param.name_; });

namespace {

struct SseCase
{
    const char *name_;
    std::vector<std::string> parts_;
    std::vector<std::string> events_;
};

class SseReaderTest : public testing::TestWithParam<SseCase>
{
};

} // namespace

// Guards against events that are lost or merged where the stream is split into reads.
TEST_P(SseReaderTest, SplitsEvents)
{
    std::vector<std::string> events;
    SseReader reader([&events](const std::string &data) { events.push_back(data); });
    for (const std::string &part : GetParam().parts_) {
        EXPECT_TRUE(reader.add(part));
    }
    EXPECT_EQ(events, GetParam().events_);
}

INSTANTIATE_TEST_SUITE_P(Rows,
                         SseReaderTest,
                         testing::Values(SseCase{"Two", {"data: a\n\ndata: b\n\n"}, {"a", "b"}},
                                         SseCase{"CutAnywhere", {"da", "ta: a", "b\n", "\nda"}, {"ab"}},
                                         SseCase{"CarriageReturns", {"data:a\r\n\r\n"}, {"a"}},
                                         SseCase{"OtherFields", {": ping\n\nevent: x\nid: 1\ndata: a\n\n"}, {"a"}},
                                         SseCase{"TwoLines", {"data: a\ndata: b\n\n"}, {"a\nb"}},
                                         SseCase{"Unfinished", {"data: a\n"}, {}}),
                         [](const testing::TestParamInfo<SseCase> &info) { return info.param.name_; });

// Guards against a lost confirmation of an exclusive run, which an engine sends as a comment between events.
TEST(SseReader, PassesCommentsOn)
{
    std::vector<std::string> comments;
    SseReader reader([](const std::string &) {},
                     [&comments](const std::string &comment) { comments.push_back(comment); });
    EXPECT_TRUE(reader.add(": al"));
    EXPECT_TRUE(reader.add("one\r\n\ndata: a\n\n:b\n"));
    EXPECT_EQ(comments, (std::vector<std::string>{"alone", "b"}));
}

// Guards against an endpoint that exhausts the memory of a node with an endless event.
TEST(SseReader, RefusesEndlessEvent)
{
    SseReader reader([](const std::string &) {});
    EXPECT_FALSE(reader.add(std::string(2 * 1024 * 1024, 'x')));
}

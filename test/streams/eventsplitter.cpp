#include "streams/eventsplitter.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief Chunks of a stream and the events in it. */
struct SplitCase
{
    const char *name_;
    std::vector<std::string> chunks_;
    std::vector<StreamEvent> events_;
    bool insideEvent_;
};

class Split : public testing::TestWithParam<SplitCase>
{
};

// Guards against events that are cut or joined at the boundaries of chunks.
TEST_P(Split, YieldsWholeEvents)
{
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (const std::string &chunk : GetParam().chunks_) {
        ASSERT_TRUE(splitter.add(chunk));
        StreamEvent event;
        while (splitter.next(event)) {
            events.push_back(event);
        }
    }
    ASSERT_EQ(events.size(), GetParam().events_.size());
    for (std::size_t i = 0; i < events.size(); ++i) {
        EXPECT_EQ(events[i].bytes_, GetParam().events_[i].bytes_);
        EXPECT_EQ(events[i].id_, GetParam().events_[i].id_);
        EXPECT_EQ(events[i].data_, GetParam().events_[i].data_);
    }
    EXPECT_EQ(splitter.isInsideEvent(), GetParam().insideEvent_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Split,
    testing::Values(
        SplitCase{"Whole", {"id: 1\ndata: a\n\n"}, {{"id: 1\ndata: a\n\n", "1", "a"}}, false},
        SplitCase{"SplitAnywhere", {"id: ", "1\nda", "ta: a\n", "\n"}, {{"id: 1\ndata: a\n\n", "1", "a"}}, false},
        SplitCase{"TwoInOnePart",
                  {"id:1\ndata:a\n\nid:2\ndata:b\n\n"},
                  {{"id:1\ndata:a\n\n", "1", "a"}, {"id:2\ndata:b\n\n", "2", "b"}},
                  false},
        SplitCase{"SeveralDataLines", {"data: a\ndata: b\n\n"}, {{"data: a\ndata: b\n\n", "", "a\nb"}}, false},
        SplitCase{"CarriageReturns", {"id: 1\r\ndata: a\r\n\r\n"}, {{"id: 1\r\ndata: a\r\n\r\n", "1", "a"}}, false},
        SplitCase{"OtherFieldsStay",
                  {"x-version: 4\nid: 1\ndata: a\n\n"},
                  {{"x-version: 4\nid: 1\ndata: a\n\n", "1", "a"}},
                  false},
        SplitCase{"HalfAnEvent", {"id: 1\ndata: a\n\nid: 2\nda"}, {{"id: 1\ndata: a\n\n", "1", "a"}}, true}),
    [](const testing::TestParamInfo<SplitCase> &info) { return info.param.name_; });

// Guards against unbounded buffering of an event that does not end.
TEST(Split, EndlessEventIsRejected)
{
    EventSplitter splitter;
    EXPECT_TRUE(splitter.add(std::string(1000, 'a')));
    EXPECT_FALSE(splitter.add(std::string(EventSplitter::maxEventBytes, 'a')));
}

} // namespace filbertgw::test

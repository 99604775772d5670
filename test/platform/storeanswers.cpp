#include "platform/storeclient.h"

#include <gtest/gtest.h>

namespace filbertgw::platform {

namespace {

/** \brief How a call to the store ended, and what is to be understood from it. */
struct StoreAnswerCase
{
    const char *name_;
    HttpOutcome outcome_;
    int status_;
    std::string body_;
    StoreStatus understood_;
    std::size_t records_ = 0;
    std::uint64_t end_ = 0; ///< For an append, the sequence number that the store expects.
};

/** \brief The client with calls that end as a test says. */
class StoreAnswer : public testing::TestWithParam<StoreAnswerCase>
{
public:
    std::uint64_t end(const HttpCall &call)
    {
        HttpResult result;
        result.outcome_ = GetParam().outcome_;
        result.status_ = GetParam().status_;
        result.body_ = GetParam().body_;
        call.onDone_(result);
        return 1;
    }

    StoreClient client_{"store:1",
                        [] { return Time{0}; },
                        [this](const HttpCall &call) { return end(call); },
                        [](const StoreCall &) {}};
    RecordStore store_ = client_.access();
};

std::string caseName(const testing::TestParamInfo<StoreAnswerCase> &info)
{
    return info.param.name_;
}

const std::string wholePage =
    R"({"items":[{"key":"a","value":"eA==","offset":3},{"key":"b","value":"eQ==","offset":4}],"has_more":false,"end":5})";

const std::string wholeRecords = std::string(7, '\0') + '\x02' + std::string(8, '\0')
    + encodeRecords({{"k1", std::string("v1"), 0}, {"k2", std::string("v2"), 0}});

} // namespace

class NewestAnswer : public StoreAnswer
{
};

// Guards against a cut or unreadable answer that is taken for an empty partition: what it holds would count as deleted.
TEST_P(NewestAnswer, IsBelievedOnlyIfWhole)
{
    StorePage page;
    store_.newest_(StoreNewest(), [&page](const StorePage &answered) { page = answered; });
    EXPECT_EQ(page.status_, GetParam().understood_);
    EXPECT_EQ(page.records_.size(), GetParam().records_);
    EXPECT_EQ(page.end_, GetParam().end_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NewestAnswer,
    testing::Values(
        StoreAnswerCase{"Whole", HttpOutcome::Complete, 200, wholePage, StoreStatus::Ok, 2, 5},
        StoreAnswerCase{"NoSuchTopic", HttpOutcome::Complete, 404, "{}", StoreStatus::Ok},
        StoreAnswerCase{"CutNoSuchTopic", HttpOutcome::Interrupted, 404, "", StoreStatus::Unknown},
        StoreAnswerCase{"LateNoSuchTopic", HttpOutcome::TimedOut, 404, "", StoreStatus::Unknown},
        StoreAnswerCase{"Cut", HttpOutcome::Interrupted, 200, wholePage, StoreStatus::Unknown},
        StoreAnswerCase{
            "CutAndFramedAsWhole", HttpOutcome::Complete, 200, wholePage.substr(0, 60), StoreStatus::Unknown},
        StoreAnswerCase{"Empty", HttpOutcome::Complete, 200, "", StoreStatus::Unknown},
        StoreAnswerCase{"OtherJson", HttpOutcome::Complete, 200, R"({"error":"x"})", StoreStatus::Unknown},
        StoreAnswerCase{"NoEnd", HttpOutcome::Complete, 200, R"({"items":[],"has_more":false})", StoreStatus::Unknown},
        StoreAnswerCase{"Unavailable", HttpOutcome::Complete, 503, "{}", StoreStatus::Rejected}),
    caseName);

class ReadAnswer : public StoreAnswer
{
};

// Guards against a cut page whose missing records are passed over.
TEST_P(ReadAnswer, EndsBeforeTheFirstMissingRecord)
{
    StorePage page;
    store_.read_(StoreRead(), [&page](const StorePage &answered) { page = answered; });
    EXPECT_EQ(page.status_, GetParam().understood_);
    EXPECT_EQ(page.records_.size(), GetParam().records_);
    EXPECT_EQ(page.end_, GetParam().end_);
    for (std::size_t i = 0; i < page.records_.size(); ++i) {
        EXPECT_EQ(page.records_[i].offset_, i);
        EXPECT_TRUE(page.records_[i].value_);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReadAnswer,
    testing::Values(
        StoreAnswerCase{"Whole", HttpOutcome::Complete, 200, wholeRecords, StoreStatus::Ok, 2, 2},
        StoreAnswerCase{"Cut", HttpOutcome::Interrupted, 200, wholeRecords, StoreStatus::Unknown},
        StoreAnswerCase{"Empty", HttpOutcome::Complete, 200, "", StoreStatus::Unknown},
        StoreAnswerCase{"CutInOffsets", HttpOutcome::Complete, 200, wholeRecords.substr(0, 15), StoreStatus::Unknown},
        StoreAnswerCase{"OffsetsOnly", HttpOutcome::Complete, 200, wholeRecords.substr(0, 16), StoreStatus::Ok, 0, 2},
        StoreAnswerCase{
            "CutInFirstLength", HttpOutcome::Complete, 200, wholeRecords.substr(0, 18), StoreStatus::Ok, 0, 2},
        StoreAnswerCase{
            "CutInSecondLength", HttpOutcome::Complete, 200, wholeRecords.substr(0, 27), StoreStatus::Ok, 1, 2},
        StoreAnswerCase{"CutInSecondValue",
                        HttpOutcome::Complete,
                        200,
                        wholeRecords.substr(0, wholeRecords.size() - 1),
                        StoreStatus::Ok,
                        1,
                        2}),
    caseName);

class AppendAnswer : public StoreAnswer
{
};

// Guards against a rejection whose reason is missing: a writer that takes it for another writer's appends twice.
TEST_P(AppendAnswer, IsRejectionOnlyWithAReason)
{
    StoreAppendResult appended;
    store_.append_(StoreAppend(), [&appended](const StoreAppendResult &answered) { appended = answered; });
    EXPECT_EQ(appended.status_, GetParam().understood_);
    EXPECT_EQ(appended.expectedSequence_, GetParam().end_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AppendAnswer,
    testing::Values(
        StoreAnswerCase{"Appended", HttpOutcome::Complete, 200, R"({"offset":1,"end":2})", StoreStatus::Ok},
        StoreAnswerCase{"CutAppended", HttpOutcome::Interrupted, 200, "", StoreStatus::Unknown},
        StoreAnswerCase{"Fenced", HttpOutcome::Complete, 409, R"({"why":"fenced"})", StoreStatus::Fenced},
        StoreAnswerCase{
            "OtherSequence", HttpOutcome::Complete, 409, R"({"why":"seq","sequence":8})", StoreStatus::Fenced, 0, 8},
        StoreAnswerCase{"CutReason", HttpOutcome::Complete, 409, R"({"why":"se)", StoreStatus::Unknown},
        StoreAnswerCase{"NoReason", HttpOutcome::Complete, 409, "", StoreStatus::Unknown},
        StoreAnswerCase{"CutRejection", HttpOutcome::Interrupted, 409, "", StoreStatus::Unknown}),
    caseName);

} // namespace filbertgw::platform

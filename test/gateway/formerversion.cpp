#include "gatewayrig.h"

#include "fleet/fleetmessage.h"
#include "ledger/retainedturn.h"
#include "ledger/spendingtable.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

// Records and messages as the landing of 2026-12-04 (cf2f8f1) writes them. Nodes of both versions run side by side
// while nodes are replaced one after the other: what either writes, the other has to read.
namespace filbertgw::test {

namespace {

std::string toHex(const std::string &bytes)
{
    static const char *const digits = "0123456789abcdef";
    std::string hex;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex += digits[value >> 4U];
        hex += digits[value & 15U];
    }
    return hex;
}

RetainedTurn sampleTurn()
{
    return RetainedTurn{{"t1", "t2"}, std::string("input;out1\n\xff", 12), std::chrono::seconds(60)};
}

FleetMessage sampleReport()
{
    FleetMessage message;
    message.sender_ = "node1";
    message.report_.ledger_ = LedgerState{true, false};
    message.report_.load_ = {{"e1", 3}, {"e2", 1}};
    message.report_.cachedParts_ = {CachedPart{"e1", "5c1e", 800}};
    message.report_.limits_ = {};
    message.report_.origins_ = {StreamOriginNotice{"r1", StreamOrigin{"engines", "v1"}, std::chrono::seconds(9)}};
    message.introduction_ = FleetMember{"node1", "10.0.0.1:7380", "10.0.0.1:7381", "z"};
    return message;
}

} // namespace

// Guards against a record whose bytes a node of the version before does not read, or reads as something else.
TEST(FormerVersion, RecordsKeepTheirBytes)
{
    EXPECT_EQ((SpendingRecord{300, 7, 100, false}.encode()), "300 7 100");
    EXPECT_EQ((SpendingRecord{300, 7, 0, true}.encode()), "300 7 0 v");
    EXPECT_EQ(toHex(sampleTurn().encode()),
              "a369616e636573746f727382627431627432676b6565705f6d7319ea6064746578744c696e7075743b6f7574310aff");
}

// Guards against a record of the version before that is read as something else or not at all.
TEST(FormerVersion, RecordsAreRead)
{
    const std::optional<SpendingRecord> spending = SpendingRecord::decode("300 7 0 v");
    ASSERT_TRUE(spending);
    EXPECT_EQ(spending->tokens_, 300U);
    EXPECT_TRUE(spending->recordedByPeer_);
    const std::optional<RetainedTurn> turn = RetainedTurn::decode(sampleTurn().encode());
    ASSERT_TRUE(turn);
    EXPECT_EQ(turn->text_, sampleTurn().text_);
    EXPECT_EQ(turn->ancestors_, sampleTurn().ancestors_);
}

// Guards against a report between nodes that the other version drops: the node would count as dead.
TEST(FormerVersion, ReportsKeepTheirBytes)
{
    const std::string bytes = encode(sampleReport());
    EXPECT_EQ(
        toHex(bytes),
        "aa6163f561646d31302e302e302e313a37333830616bf4616c8282626531038262653201616e656e6f646531616f818462723167656e67"
        "696e657362763119232861708183626531643563316519032061756d31302e302e302e313a37333831617680617a617a");
    const std::optional<FleetMessage> read = decodeFleetMessage(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->sender_, "node1");
    EXPECT_EQ(read->report_.load_.size(), 2U);
    ASSERT_EQ(read->report_.origins_.size(), 1U);
    EXPECT_EQ(read->report_.origins_[0].origin_.version_, "v1");
}

// Guards against a version of the configuration that changes the rest of a report, or is sent without accounts.
TEST(FormerVersion, ConfigurationVersionIsAnOptionalField)
{
    const nlohmann::json before = nlohmann::json::from_cbor(encode(sampleReport()));
    FleetMessage message = sampleReport();
    message.report_.configurationVersion_ = 7;
    nlohmann::json with = nlohmann::json::from_cbor(encode(message));
    EXPECT_EQ(with["f"], 7U);
    EXPECT_EQ(decodeFleetMessage(encode(message))->report_.configurationVersion_, 7U);
    with.erase("f");
    EXPECT_EQ(with, before);
}

// Guards against a report whose new field is lost, or is set in reports of the version before.
TEST(FormerVersion, ReportsSayWhetherGrantsMayBeMissed)
{
    FleetMessage message = sampleReport();
    EXPECT_FALSE(decodeFleetMessage(encode(message))->report_.mayMissGrants_);
    message.report_.mayMissGrants_ = true;
    EXPECT_TRUE(decodeFleetMessage(encode(message))->report_.mayMissGrants_);
}

// Guards against an outage reserve that the version before does not count: it must read as the spending of a writer.
TEST(FormerVersion, OutageReserveIsASpendingRecord)
{
    SpendingTable table("self", [] { return Time{std::chrono::seconds(100)}; });
    table.setOutageReserve("p", 1200);
    ASSERT_TRUE(table.unrecordedReserve("p"));
    EXPECT_EQ(table.unrecordedReserve("p")->encode(), "1200 0 0 v");
    table.applyRecord("p", SpendingTable::outageReserveWriter, SpendingRecord::decode("1200 0 0 v"));
    EXPECT_FALSE(table.unrecordedReserve("p"));
    EXPECT_EQ(table.total("p"), 1200U);
}

// Guards against later turns in an outage for a node of the version before, which would record its part of the spending
// without the outage reserve.
TEST(FormerVersion, NodeThatRecordsNoReserveGetsOneTurnInAnOutage)
{
    GatewayRig rig(3, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 1);
    rig.run(std::chrono::seconds(11));
    rig.send(0, turn("other", "other", "other"));
    rig.run(std::chrono::seconds(1));
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(2));
    std::vector<std::uint64_t> granted;
    for (std::uint64_t turns = 1; turns <= 4; ++turns) {
        const nlohmann::json claim = {
            {"writer", "node9.1"}, {"tokens", 300 * turns}, {"recorded", 0U}, {"group", 0U}, {"claim", turns}};
        for (const std::unique_ptr<Gateway> &node : rig.nodes_) {
            node->onPeerRequest("budget_reserve",
                                {{"program", "p"},
                                 {"budget", 6000U},
                                 {"tokens", 300U},
                                 {"main_line", true},
                                 {"repeat_ms", 9000U},
                                 {"claim", claim}},
                                [&granted, turns](const nlohmann::json &answer) {
                                    if (answer["decision"] == "granted") {
                                        granted.push_back(turns);
                                    }
                                });
        }
        rig.run(std::chrono::milliseconds(500));
    }
    EXPECT_EQ(granted, std::vector<std::uint64_t>{1});
}

/** \brief A request of a node of the version before, and the fields that it reads in the answer. */
struct FormerRequest
{
    const char *name_;
    const char *type_;
    nlohmann::json body_;
    std::vector<std::string> answerFields_;
};

class FormerVersionRequest : public testing::TestWithParam<FormerRequest>
{
};

// Guards against a request of a node of the version before that gets no answer, or one that it can't read.
TEST_P(FormerVersionRequest, IsAnswered)
{
    GatewayRig rig(2, {streamingRoute(true, 1, true)});
    rig.addEndpoints("engines", "e", 1);
    rig.run(std::chrono::seconds(3));
    std::optional<nlohmann::json> answer;
    rig.nodes_[0]->onPeerRequest(
        GetParam().type_, GetParam().body_, [&answer](const nlohmann::json &body) { answer = body; });
    rig.run(std::chrono::seconds(2));
    ASSERT_TRUE(answer);
    for (const std::string &field : GetParam().answerFields_) {
        EXPECT_TRUE(answer->contains(field)) << field << " in " << *answer;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FormerVersionRequest,
    testing::Values(
        FormerRequest{"Reserve",
                      "budget_reserve",
                      {{"program", "p"}, {"budget", 1000U}, {"tokens", 300U}, {"main_line", true}},
                      {"decision", "durable"}},
        FormerRequest{
            "ReserveWithoutTheStore",
            "budget_reserve",
            {{"program", "p"},
             {"budget", 1000U},
             {"tokens", 300U},
             {"main_line", true},
             {"claim", {{"writer", "node9.1"}, {"tokens", 300U}, {"recorded", 0U}, {"group", 0U}, {"claim", 1U}}}},
            {"decision", "durable"}},
        FormerRequest{"ClaimOfAFirstTurn", "budget_first_turn", {{"program", "p"}, {"writer", "node9.1"}}, {"holder"}},
        FormerRequest{
            "Allowance",
            "budget_allowance",
            {{"program", "p"}, {"tokens", 300U}, {"budget", 1000U}, {"main_line", true}, {"holder", "node0.7"}},
            {"decision"}},
        FormerRequest{"Settle", "budget_settle", {{"program", "p"}, {"reserved", 300U}, {"used", 100U}}, {"settled"}},
        FormerRequest{"Spending", "budget_note", {{"program", "p"}, {"spent", nlohmann::json::array()}}, {"noted"}},
        FormerRequest{"Origins", "stream_origins", {{"origins", {{"r1", "engines", "v1", 9000U}}}}, {"kept"}},
        FormerRequest{"FindOrigin",
                      "stream_origin_find",
                      {{"attempt", "r2"}, {"services", {"engines"}}, {"lifetime_ms", 10'000U}},
                      {"versions", "version"}}),
    [](const testing::TestParamInfo<FormerRequest> &info) { return info.param.name_; });

} // namespace filbertgw::test

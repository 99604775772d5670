#include "fleet/fleetmessage.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace filbertgw::test {

namespace {

std::string cborOf(const nlohmann::json &body)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

FleetMessage summary()
{
    FleetMessage message;
    message.sender_ = "node";
    message.report_.ledger_ = LedgerState{true, false};
    message.report_.load_ = {{"engine", 3}};
    message.report_.cachedParts_ = {CachedPart{"engine", "part", 12'000}};
    message.report_.paces_ = {ServicePace{"engines", PaceSums{2.0, 1.0, 3.0}}};
    message.report_.nodes_ = 2;
    message.report_.crashes_ = {CrashRecord{"request", "engine@1", true}};
    message.report_.limits_ = {RateLimitNotice{"engine@1", 2.5, std::chrono::milliseconds(40)},
                               RateLimitNotice{"engine@2", std::nullopt, std::chrono::milliseconds(7)}};
    message.report_.outcomes_ = {EndpointOutcomes{"engine@1", 12.25, 3.5}};
    message.report_.ejections_ = {EjectionNotice{"engine@2", true, std::chrono::milliseconds(30)},
                                  EjectionNotice{"engine@3", false, std::chrono::milliseconds(8)}};
    message.report_.origins_ = {StreamOriginNotice{"r1", StreamOrigin{"engines", "v2"}, std::chrono::seconds(6)}};
    message.report_.accounts_ = {{"engines", 4'000'000'000U, 17, 2}, {"engines", 7, 1, 0}, {"tools", 7, 2, 0}};
    message.group_ = FleetGroup{"domain", 1, 3};
    message.members_ = {GroupMember{"node", LedgerState{true, false}},
                        GroupMember{"mate", LedgerState{false, true}, false}};
    message.introduction_ = FleetMember{"node", "datagrams", "links", "domain"};
    return message;
}

} // namespace

// Guards against fields that are lost in encoding or decoding.
TEST(FleetMessage, IsDecodedAsItWasEncoded)
{
    const std::optional<FleetMessage> decoded = decodeFleetMessage(encode(summary()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(encode(*decoded), encode(summary()));
    EXPECT_EQ(decoded->report_.nodes_, 2U);
    ASSERT_EQ(decoded->report_.crashes_.size(), 1U);
    EXPECT_TRUE(decoded->report_.crashes_[0].isExcused_);
    ASSERT_EQ(decoded->report_.limits_.size(), 2U);
    EXPECT_EQ(decoded->report_.limits_[0].requestsPerSecond_, 2.5);
    EXPECT_EQ(decoded->report_.limits_[0].age_, std::chrono::milliseconds(40));
    EXPECT_FALSE(decoded->report_.limits_[1].requestsPerSecond_);
    ASSERT_EQ(decoded->report_.outcomes_.size(), 1U);
    EXPECT_EQ(decoded->report_.outcomes_[0].requests_, 12.25);
    EXPECT_EQ(decoded->report_.outcomes_[0].failures_, 3.5);
    ASSERT_EQ(decoded->report_.ejections_.size(), 2U);
    EXPECT_TRUE(decoded->report_.ejections_[0].isEjected_);
    EXPECT_FALSE(decoded->report_.ejections_[1].isEjected_);
    EXPECT_EQ(decoded->report_.ejections_[1].age_, std::chrono::milliseconds(8));
    ASSERT_EQ(decoded->report_.origins_.size(), 1U);
    EXPECT_EQ(decoded->report_.origins_[0].origin_.version_, "v2");
    EXPECT_EQ(decoded->report_.origins_[0].timeLeft_, std::chrono::seconds(6));
    ASSERT_TRUE(decoded->report_.accounts_);
    ASSERT_EQ(decoded->report_.accounts_->size(), 3U);
    EXPECT_EQ(decoded->report_.accounts_->at(0).account_, 4'000'000'000U);
    EXPECT_EQ(decoded->report_.accounts_->at(0).running_, 17U);
    EXPECT_EQ(decoded->report_.accounts_->at(0).priority_, 2U);
    EXPECT_EQ(decoded->report_.accounts_->at(2).service_, "tools");
    EXPECT_TRUE(decoded->report_.reachesEndpoints_);
    ASSERT_EQ(decoded->members_.size(), 2U);
    EXPECT_TRUE(decoded->members_[0].reachesEndpoints_);
    EXPECT_FALSE(decoded->members_[1].reachesEndpoints_);
    EXPECT_EQ(decoded->group_->name(), "group domain/1/3");
    EXPECT_EQ(decoded->introduction_->domain_, "domain");
}

/** \brief A field of a message with an invalid value. */
struct MalformedField
{
    const char *name_;
    const char *field_;
    nlohmann::json value_;
    bool isMessage_; ///< The rest of the message is still valid.
};

class Malformed : public testing::TestWithParam<MalformedField>
{
};

// Guards against the load of a group that counts as that of one node, and against entries of the wrong type.
TEST_P(Malformed, FieldIsPassedOverOrVoidsTheMessage)
{
    const std::string encoded = encode(summary());
    nlohmann::json body = nlohmann::json::from_cbor(encoded);
    body[GetParam().field_] = GetParam().value_;
    EXPECT_EQ(decodeFleetMessage(cborOf(body)).has_value(), GetParam().isMessage_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Malformed,
    testing::Values(
        MalformedField{"Sender", "n", 5, false},
        MalformedField{"LedgerState", "c", "yes", false},
        MalformedField{"Load", "l", "none", false},
        MalformedField{"LoadEntries", "l", {{"engine", -1}, {"engine"}, 7}, true},
        MalformedField{"Parts", "p", {{"engine", "part", "long"}}, true},
        MalformedField{"Group", "g", "domain", false},
        MalformedField{"GroupBeyondTheirNumber", "g", {"domain", 3, 3, 1}, false},
        MalformedField{"AbsurdNumberOfGroups", "g", {"domain", 1, 1ULL << 60, 1}, false},
        MalformedField{"GroupWithoutNodes", "g", {"domain", 1, 3}, false},
        MalformedField{"Origins", "o", {{"r1", "engines", 2, 6000}, {"r1"}, 7}, true},
        MalformedField{"OriginsOfAnotherType", "o", "none", true},
        MalformedField{
            "Accounts",
            "a",
            {{"engines", {1, 2}}, {"engines", {-1, 2, 0, 1, 2.5, 0, 1ULL << 40, 1, 0}}, {3, {1, 1, 1}}, "engines"},
            true},
        MalformedField{"Outcomes", "h", {{"e@1", 1, 2}, {"e@1", -1, 0}, {"e@1"}, 7}, true},
        MalformedField{"Ejections", "j", {{"e@1", 5, 1}, {"e@1", -1, true}, 7}, true},
        MalformedField{"AccountsOfAnotherType", "a", 7, true},
        MalformedField{"NodesCutOff", "e", {1, {"node"}}, true},
        MalformedField{"Members", "m", {{"node", true}, {1, true, true}}, true}),
    [](const testing::TestParamInfo<MalformedField> &info) { return info.param.name_; });

// Guards against a crash on truncated datagrams.
TEST(FleetMessage, CutDatagramIsNoMessage)
{
    const std::string encoded = encode(summary());
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        EXPECT_FALSE(decodeFleetMessage(encoded.substr(0, length)));
    }
}

} // namespace filbertgw::test

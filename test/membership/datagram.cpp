#include "membership/datagram.h"
#include "membership/membershipcontroller.h"
#include "membership/slotmap.h"
#include "slopes/memberfleet.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using namespace filbertgw::bench;

namespace {

const std::string key = "fleet-key";

nlohmann::json messageOf(DatagramType type, const nlohmann::json &rest)
{
    nlohmann::json message = nlohmann::json::array({static_cast<std::uint64_t>(type)});
    message.insert(message.end(), rest.begin(), rest.end());
    return message;
}

std::string sealed(const nlohmann::json &message)
{
    return sealDatagram(message, key);
}

} // namespace

struct DatagramCase
{
    const char *name_;
    std::string datagram_;
    bool isOpened_;
};

class OpenDatagram : public testing::TestWithParam<DatagramCase>
{
};

// Guards against a datagram that is accepted without a valid MAC, or that makes the parser fail.
TEST_P(OpenDatagram, AcceptsOnlyAuthenticMessages)
{
    EXPECT_EQ(openDatagram(GetParam().datagram_, {"new-key", key}).has_value(), GetParam().isOpened_);
}

const std::string probe = sealed({1U, 7U, 9U});

INSTANTIATE_TEST_SUITE_P(
    Datagrams,
    OpenDatagram,
    testing::Values(DatagramCase{"Valid", probe, true},
                    DatagramCase{"Empty", "", false},
                    DatagramCase{"MacOnly", probe.substr(probe.size() - datagramMacBytes), false},
                    DatagramCase{"Truncated", probe.substr(0, probe.size() - 1), false},
                    DatagramCase{"TruncatedFront", probe.substr(1), false},
                    DatagramCase{"ChangedByte", std::string(1, '\x84') + probe.substr(1), false},
                    DatagramCase{"WrongKey", sealDatagram({1U, 7U, 9U}, "other"), false},
                    DatagramCase{"Oversized", sealed({1U, std::string(maxDatagramBytes, 'x')}), false},
                    DatagramCase{"NotAnArray", sealed({{"type", 1}}), false},
                    DatagramCase{"EmptyArray", sealed(nlohmann::json::array()), false},
                    DatagramCase{"TypeIsText", sealed({"1", 7U}), false},
                    DatagramCase{"TypeIsNegative", sealed({-1, 7U}), false},
                    DatagramCase{"TypeIsUnknown", sealed({lastDatagramType + 1, 7U}), false},
                    DatagramCase{"HugeArray", sealBytes(std::string("\x9b") + std::string(8, '\x7f'), key), false}),
    [](const testing::TestParamInfo<DatagramCase> &info) { return std::string(info.param.name_); });

class MalformedMessage : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against a crash or a changed view after a message with a valid MAC whose elements are missing, too long or of
// the wrong type, as a member of another version or with damaged memory may send.
TEST_P(MalformedMessage, ChangesNothing)
{
    MemberFleet fleet(1, 0);
    fleet.add(0);
    fleet.add(1);
    fleet.run(std::chrono::seconds(2));
    ASSERT_EQ(fleet.section(0).members_.size(), 2U);
    const std::uint64_t version = fleet.section(0).version_;
    const std::uint64_t known = rendezvousHash(MemberFleet::recordOf(1).id_.value());
    const std::vector<nlohmann::json> bodies{nlohmann::json::array(),
                                             {"text"},
                                             {known},
                                             {known, -1, 0U, 0U, 0U},
                                             {known, nullptr, nullptr, nullptr},
                                             {known, known, 9U, 1U},
                                             {known, {{"a", 1}}, 0U, 0U},
                                             {known, nlohmann::json::binary({1, 2, 3}), known},
                                             {known, {"id", "d", "u", "p", "h", 9U, 1U}},
                                             {known, {"", "d", "u", "p", "h", 0U, 1U}},
                                             {known, {std::string(300, 'x'), "d", "u", "p", "h", 0U, 1U}},
                                             {nlohmann::json::array({"id", "d", "u"})}};
    for (const nlohmann::json &body : bodies) {
        fleet.controller(0).onDatagram(sealed(messageOf(static_cast<DatagramType>(GetParam()), body)));
    }
    std::mt19937_64 random(GetParam());
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(1, '\x88');
        bytes.push_back(static_cast<char>(GetParam()));
        while (bytes.size() < 40) {
            bytes.push_back(static_cast<char>(random()));
        }
        fleet.controller(0).onDatagram(sealBytes(bytes, key));
    }
    EXPECT_EQ(fleet.section(0).version_, version);
}

INSTANTIATE_TEST_SUITE_P(Types, MalformedMessage, testing::Range<std::uint64_t>(0, lastDatagramType + 1));

// Guards against a key rotation that partitions the fleet while some nodes use the old keys and others the new ones.
TEST(Keys, RotateWithoutDeathDeclaration)
{
    MemberFleet fleet(4, 0);
    for (int i = 0; i < 5; ++i) {
        fleet.add(2);
    }
    fleet.run(std::chrono::seconds(5));
    fleet.watchForFalseDeaths();
    const std::vector<std::vector<std::string>> steps{{key, "next"}, {"next", key}, {"next"}};
    for (const std::vector<std::string> &keys : steps) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.controller(i).setKeys(keys);
            fleet.run(std::chrono::seconds(5));
        }
    }
    EXPECT_EQ(fleet.deathDeclarationsOfRunning(), 0U);
    fleet.controller(0).setKeys({"stranger"});
    fleet.run(std::chrono::seconds(8));
    EXPECT_EQ(fleet.shareThatShows(0, MemberState::Dead), 1.0);
}

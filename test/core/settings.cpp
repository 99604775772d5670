#include "core/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace filbertgw;

namespace {

struct SettingsCase
{
    const char *name_;
    std::vector<std::string> arguments_;
    std::map<std::string, std::string> environment_;
    std::vector<std::string> errors_; ///< Expected start of each message.
};

const std::vector<std::string> complete{"--node-name=a", "--log=h:1", "--peer-keys=0123456789abcdef"};

std::vector<std::string> with(const std::vector<std::string> &more)
{
    std::vector<std::string> all = complete;
    all.insert(all.end(), more.begin(), more.end());
    return all;
}

class SettingsTest : public testing::TestWithParam<SettingsCase>
{
};

} // namespace

// Guards against an invalid value that is accepted, that is reported only after others are corrected, or that is
// printed although it is secret.
TEST_P(SettingsTest, ReportsEveryBadValue)
{
    const SettingsCase &row = GetParam();
    const Settings::Parsed parsed =
        Settings::parse(Command::Serve, row.arguments_, [&row](const std::string &name) -> const char * {
            const auto found = row.environment_.find(name);
            return found == row.environment_.end() ? nullptr : found->second.c_str();
        });
    ASSERT_EQ(parsed.errors_.size(), row.errors_.size()) << testing::PrintToString(parsed.errors_);
    for (std::size_t index = 0; index < row.errors_.size(); ++index) {
        EXPECT_EQ(parsed.errors_[index].rfind(row.errors_[index], 0), 0U) << parsed.errors_[index];
        EXPECT_EQ(parsed.errors_[index].find("s3cret"), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    SettingsTest,
    testing::Values(
        SettingsCase{"Complete", complete, {}, {}},
        SettingsCase{"Missing",
                     {"--node-name=a"},
                     {},
                     {"--log or FILBERTGW_LOG is required", "--peer-keys or FILBERTGW_PEER_KEYS is required"}},
        SettingsCase{"FromEnvironment",
                     {"--node-name=a", "--log=h:1"},
                     {{"FILBERTGW_PEER_KEYS", "0123456789abcdef"}, {"FILBERTGW_POLL_MS", "x"}},
                     {"invalid value 'x' for FILBERTGW_POLL_MS: must be an integer from 50 to 10000"}},
        SettingsCase{"FlagWins", with({"--poll-ms=100"}), {{"FILBERTGW_POLL_MS", "x"}}, {}},
        SettingsCase{"AllAtOnce",
                     with({"--body-bytes=1", "--listen=8080", "--log-level=loud", "--operator-keys=s3cret"}),
                     {},
                     {"invalid value '1' for --body-bytes",
                      "invalid value '8080' for --listen: must be host:port",
                      "invalid value 'loud' for --log-level: must be one of: debug",
                      "invalid value for --operator-keys: must be keys of at least 16"}},
        SettingsCase{"Unknown", with({"--no-such"}), {}, {"unknown option --no-such"}},
        SettingsCase{"NoValue", with({"--listen"}), {}, {"a value is missing after --listen"}},
        SettingsCase{"NumberWithRest", with({"--poll-ms=100ms"}), {}, {"invalid value '100ms' for --poll-ms"}}),
    [](const testing::TestParamInfo<SettingsCase> &info) { return info.param.name_; });

// Guards against a default that is outside of its own range.
TEST(Settings, DefaultsAreValid)
{
    const Settings::Parsed parsed =
        Settings::parse(Command::Serve, complete, [](const std::string &) { return nullptr; });
    for (const SettingRow &row : Settings::table()) {
        if (row.required_ || row.default_.empty() || row.type_ == SettingType::Flag) {
            continue;
        }
        const Command command = (row.commands_ & 1) != 0 ? Command::Serve
            : (row.commands_ & 2) != 0                   ? Command::Publish
                                                         : Command::State;
        const std::vector<std::string> arguments{"--" + row.flag_ + "=" + row.default_};
        for (const std::string &error :
             Settings::parse(command, arguments, [](const std::string &) { return nullptr; }).errors_) {
            EXPECT_EQ(error.find("invalid value"), std::string::npos) << error;
        }
    }
    EXPECT_TRUE(parsed.errors_.empty());
    EXPECT_EQ(parsed.settings_.number(Setting::BacklogBytes), 8 * 1024 * 1024);
}

// Guards against an outdated docs/settings.md, which is the output of `filbertgw serve --help-markdown`.
TEST(Settings, PageMatchesTable)
{
    std::ifstream file(FILBERTGW_TEST_DIR "/../docs/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    EXPECT_EQ(page.str(), Settings::markdown());
}

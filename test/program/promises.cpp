#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace {

/** \brief Runs build/bench/promises with one thread. \return its JSON output, with the exit status added as `exit` */
nlohmann::json runPromises(const std::string &arguments)
{
    const std::string command = std::string(FILBERTGW_BUILD_DIR) + "/bench/promises --threads 1 " + arguments;
    std::FILE *pipe = popen(command.c_str(), "r");
    if (pipe == nullptr) {
        return {{"exit", -1}};
    }
    std::string output;
    std::array<char, 4096> buffer{};
    for (std::size_t size = 0; (size = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
        output.append(buffer.data(), size);
    }
    const int status = pclose(pipe);
    nlohmann::json result = nlohmann::json::parse(output, nullptr, false);
    if (!result.is_object()) {
        result = nlohmann::json::object();
    }
    result["exit"] = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

struct SeedCase
{
    const char *deployment_;
    int seed_;
};

class Promises : public testing::TestWithParam<SeedCase>
{
};

class Breaks : public testing::TestWithParam<const char *>
{
};

constexpr int seedsPerTest = 125;

} // namespace

// Guards against violations of H1–H10 in random fault schedules, with 500 fixed seeds for each deployment.
TEST_P(Promises, HoldInRandomFaultSchedules)
{
    const nlohmann::json result =
        runPromises("--deployment " + std::string(GetParam().deployment_) + " --seed "
                    + std::to_string(GetParam().seed_) + " --runs " + std::to_string(seedsPerTest));
    EXPECT_EQ(result.at("exit"), 0) << result.dump(1);
    EXPECT_EQ(result.value("violations", -1), 0);
    EXPECT_GT(result.value("endpoint_runs", 0), seedsPerTest * 20) << "the schedules have to do a minimum of work";
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         Promises,
                         testing::Values(SeedCase{"kochuveli", 1},
                                         SeedCase{"kochuveli", 126},
                                         SeedCase{"kochuveli", 251},
                                         SeedCase{"kochuveli", 376},
                                         SeedCase{"scalisi", 1},
                                         SeedCase{"scalisi", 126},
                                         SeedCase{"scalisi", 251},
                                         SeedCase{"scalisi", 376}),
                         [](const testing::TestParamInfo<SeedCase> &info) {
                             return std::string(info.param.deployment_) + std::to_string(info.param.seed_);
                         });

// Guards against ineffective checkers: disabling any one safeguard has to cause a violation within 200 schedules.
TEST_P(Breaks, AreCaughtWithin200Schedules)
{
    const nlohmann::json result =
        runPromises("--deployment kochuveli --seed 1 --runs 200 --break " + std::string(GetParam()));
    EXPECT_EQ(result.at("exit"), 1) << result.dump(1);
    EXPECT_GT(result.value("violations", 0), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Safeguards,
    Breaks,
    testing::Values("fencing", "intent", "read-back", "budget", "dedup", "drain", "config-order", "release"),
    [](const testing::TestParamInfo<const char *> &info) {
        std::string name = info.param;
        name.erase(std::remove(name.begin(), name.end(), '-'), name.end());
        return name;
    });

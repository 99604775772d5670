#include "gatewayrig.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodes = 3;

ClientAccount limitedAccount(double rate, double burst)
{
    return ClientAccount{"a", {"key-a"}, std::nullopt, rate, burst};
}

GatewayRequest requestOfAccount(std::size_t number)
{
    GatewayRequest request = plainRequest("r" + std::to_string(number));
    request.apiKey_ = "key-a";
    return request;
}

class AccountQuota : public testing::Test
{
protected:
    AccountQuota()
        : rig_(nodes, {plainRoute(RouteKind::Idempotent, 3), streamingRoute(true, 1, false)})
    {
        rig_.addEndpoints("services", "s", 3);
        rig_.addEndpoints("engines", "e", 3);
        rig_.onAttempt_ = [this](std::size_t attempt) {
            rig_.queue_.after(milliseconds(1), [this, attempt] { rig_.answer(attempt, 200, "ok"); });
        };
        rig_.run(seconds(1));
    }

    /** \brief Sends requests at equal intervals to the nodes in turn. */
    std::vector<std::shared_ptr<ClientResponse>> sendFor(Duration time, Duration interval)
    {
        std::vector<std::shared_ptr<ClientResponse>> responses;
        const Time end = rig_.queue_.now() + time;
        while (rig_.queue_.now() < end) {
            responses.push_back(rig_.send(sent_ % nodes, requestOfAccount(sent_)));
            ++sent_;
            rig_.run(interval);
        }
        return responses;
    }
    static std::size_t countOf(const std::vector<std::shared_ptr<ClientResponse>> &responses, int status)
    {
        std::size_t count = 0;
        for (const std::shared_ptr<ClientResponse> &response : responses) {
            count += response->status_ == status ? 1 : 0;
        }
        return count;
    }

    GatewayRig rig_;
    std::size_t sent_ = 0;
};

} // namespace

// Guards against an account that gets more than its limit through several nodes, and against refusals without a time to
// return.
TEST_F(AccountQuota, IsKeptOverAllNodes)
{
    rig_.setAccounts({limitedAccount(20.0, 20.0)});
    const std::vector<std::shared_ptr<ClientResponse>> responses = sendFor(seconds(5), milliseconds(10));
    const std::size_t served = countOf(responses, 200);
    EXPECT_GE(served, 95U);
    EXPECT_LE(served, 152U);
    EXPECT_EQ(rig_.attempts_.size(), served);
    EXPECT_EQ(countOf(responses, 429) + served, responses.size());
    for (const std::shared_ptr<ClientResponse> &response : responses) {
        if (response->status_ == 429) {
            EXPECT_GT(std::atof(response->headers_["Retry-After"].c_str()), 0.0);
        }
    }
}

// Guards against refusals of an account that stays below its limit.
TEST_F(AccountQuota, ServesAnAccountBelowItsLimitInFull)
{
    rig_.setAccounts({limitedAccount(100.0, 20.0)});
    const std::vector<std::shared_ptr<ClientResponse>> responses = sendFor(seconds(10), milliseconds(20));
    rig_.run(milliseconds(50));
    EXPECT_EQ(countOf(responses, 200), responses.size());
}

// Guards against permits that are lost with requests that were not run: engines refuse 19 of 20 attempts here, so that
// about 12 of 25 requests a second run, and the others end as refused by the engines.
TEST_F(AccountQuota, ReturnsPermitsOfRequestsThatWereNotRun)
{
    rig_.setAccounts({limitedAccount(20.0, 20.0)});
    rig_.onAttempt_ = [this](std::size_t attempt) {
        rig_.queue_.after(milliseconds(1), [this, attempt] {
            if (attempt % 20 == 0) {
                rig_.answer(attempt, 200, "ok");
            } else {
                rig_.refuse(attempt);
            }
        });
    };
    const std::vector<std::shared_ptr<ClientResponse>> responses = sendFor(seconds(12), milliseconds(40));
    rig_.run(seconds(2));
    EXPECT_EQ(countOf(responses, 429), 0U) << "of " << responses.size();
    EXPECT_GT(countOf(responses, 503), responses.size() / 3);
}

// Guards against control traffic and work in deployments without quotas.
TEST_F(AccountQuota, SendsNothingWithoutAQuota)
{
    sendFor(seconds(1), milliseconds(20));
    rig_.setAccounts({limitedAccount(0.0, 0.0)});
    const std::vector<std::shared_ptr<ClientResponse>> responses = sendFor(seconds(2), milliseconds(20));
    rig_.run(milliseconds(50));
    EXPECT_EQ(countOf(responses, 200), responses.size());
    EXPECT_EQ(rig_.peerRequests_.count("account_quota"), 0U);
    EXPECT_EQ(rig_.peerRequests_.count("account_quota_level"), 0U);
}

// Guards against a request that waits for the answer of a node that doesn't give one.
TEST_F(AccountQuota, DoesNotWaitForACoordinatorThatIsGone)
{
    rig_.setAccounts({limitedAccount(100.0, 100.0)});
    sendFor(seconds(3), milliseconds(20));
    for (std::size_t node = 0; node < nodes; ++node) {
        rig_.unresponsiveNodes_.insert("node" + std::to_string(node));
        const Time before = rig_.queue_.now();
        const std::shared_ptr<ClientResponse> response = rig_.send((node + 1) % nodes, requestOfAccount(9'000 + node));
        rig_.run(milliseconds(300));
        EXPECT_EQ(response->status_, 200) << node;
        EXPECT_LE(response->endedAt_ - before, milliseconds(250)) << node;
        rig_.unresponsiveNodes_.clear();
        rig_.run(seconds(2));
    }
}

} // namespace filbertgw::test

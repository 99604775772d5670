#include "gatewayrig.h"

#include "accounts/accountscope.h"
#include "placement/admission.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr std::size_t manyEngines = 10; // With 4 slots each.

ClientAccount account(const std::string &name)
{
    ClientAccount account;
    account.name_ = name;
    account.keys_ = {name};
    return account;
}

/** Two nodes and the accounts "hot" and "small", whose keys are their names. */
class AccountRig : public GatewayRig
{
public:
    explicit AccountRig(std::size_t engines)
        : GatewayRig(2, {route()})
    {
        addEndpoints("engines", "e", engines);
        Service service;
        service.name_ = "engines";
        service.engine_ = EngineProfile{4, 100, 100'000};
        const Result<AccountDirectory> accounts = AccountDirectory::build({account("hot"), account("small")});
        for (const std::unique_ptr<Gateway> &node : nodes_) {
            node->setRouting(std::make_shared<const RoutingTable>(
                100, std::vector<Route>{route()}, std::vector<Service>{service}, accounts.value()));
        }
        run(std::chrono::seconds(3));
    }

    static Route route()
    {
        Route route = streamingRoute(false, 1, false);
        route.priority_ = 1;
        return route;
    }

    static GatewayRequest turnOf(const std::string &account, const std::string &program)
    {
        GatewayRequest request = turn(program + "-1", program, program);
        request.apiKey_ = account;
        return request;
    }

    /** \brief Programs of an account whose draw is in this range. */
    static std::vector<std::string> programs(const std::string &account, std::size_t count, double from, double to)
    {
        std::vector<std::string> programs;
        for (int i = 0; programs.size() < count; ++i) {
            const std::string program = account + std::to_string(i);
            const double draw = Admission::drawOf(scopedId(accountScope(account), program));
            if (draw >= from && draw < to) {
                programs.push_back(program);
            }
        }
        return programs;
    }
};

} // namespace

// Guards against refusals of an account that runs next to nothing, where another one fills the engines through another
// node. Without accounts, each of these programs is refused: their draws are below the refused share.
TEST(AccountAdmissionOfNodes, ProgramsOfTheLargeAccountAreRefused)
{
    AccountRig rig(manyEngines);
    for (const std::string &program : AccountRig::programs("hot", 34, 0.5, 1.0)) {
        rig.send(0, AccountRig::turnOf("hot", program));
    }
    rig.run(std::chrono::seconds(2));
    ASSERT_EQ(rig.attempts_.size(), 34U);
    // 34 of 40 slots are in use: 0.375 of the programs are refused.
    for (const std::string &program : AccountRig::programs("small", 2, 0.0, 0.3)) {
        rig.send(1, AccountRig::turnOf("small", program));
    }
    rig.run(std::chrono::milliseconds(200));
    EXPECT_EQ(rig.attempts_.size(), 36U);
    for (const std::string &program : AccountRig::programs("hot", 2, 0.0, 0.3)) {
        const std::shared_ptr<ClientResponse> response = rig.send(1, AccountRig::turnOf("hot", program));
        rig.run(std::chrono::milliseconds(1));
        EXPECT_EQ(response->status_, 503);
        EXPECT_EQ(response->headers_.count("Retry-After"), 1U);
    }
    EXPECT_EQ(rig.attempts_.size(), 36U);
}

// Guards against a request that takes up a slot although no engine can answer it in the time left.
TEST(AccountAdmissionOfNodes, RequestsWithTooLittleTimeAreRefusedAtOnce)
{
    AccountRig rig(manyEngines);
    rig.send(0, AccountRig::turnOf("small", "learned"));
    rig.run(std::chrono::milliseconds(500));
    ASSERT_EQ(rig.attempts_.size(), 1U);
    rig.stream(0, {"first"}, false);
    for (int event = 2; event < 120; ++event) {
        rig.run(std::chrono::milliseconds(20)); // 100 tokens, so a token takes 0.2 ms.
        rig.attempts_[0].handlers_.onPart_("id: " + std::to_string(event) + "\ndata: x\n\n");
    }
    const auto sendWith = [&rig](const std::string &program, Duration timeLeft) {
        GatewayRequest request = AccountRig::turnOf("small", program);
        request.expectedOutputTokens_ = 300;
        request.timeLeft_ = timeLeft;
        const std::shared_ptr<ClientResponse> response = rig.send(0, request);
        rig.run(std::chrono::milliseconds(15));
        return response;
    };
    EXPECT_EQ(sendWith("late", std::chrono::milliseconds(25))->status_, 503);
    EXPECT_EQ(rig.attempts_.size(), 1U);
    sendWith("inTime", std::chrono::milliseconds(90));
    EXPECT_EQ(rig.attempts_.size(), 2U);
}

// Guards against first turns that take the slots for which turns of running programs wait: engines take requests in
// order of arrival, and the work of a program that ends midway is lost.
TEST(AccountAdmissionOfNodes, LaterTurnsGoBeforeFirstOnes)
{
    AccountRig rig(1);
    rig.send(0, AccountRig::turnOf("small", "old"));
    rig.run(std::chrono::milliseconds(200));
    rig.stream(0, {"output"}, true);
    rig.run(std::chrono::milliseconds(500));
    rig.send(0, AccountRig::turnOf("hot", "new"));
    rig.run(std::chrono::milliseconds(10));
    GatewayRequest later = AccountRig::turnOf("small", "old");
    later.id_ = "old-2";
    rig.send(0, later);
    rig.run(std::chrono::milliseconds(5));
    ASSERT_EQ(rig.attempts_.size(), 3U);
    rig.refuse(1);
    rig.refuse(2);
    rig.run(std::chrono::milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 5U);
    EXPECT_EQ(rig.attempts_[3].attempt_.request_->id_, "old-2");
    EXPECT_EQ(rig.attempts_[4].attempt_.request_->id_, "new-1");
}

} // namespace filbertgw::test

#include "gatewayrig.h"

#include "ledger/turnstore.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

GatewayRequest turnAfter(const std::string &id, const std::string &previous)
{
    GatewayRequest request = turn(id, "p", "s");
    request.previousTurn_ = previous;
    request.tokenBudget_ = 100'000;
    return request;
}

} // namespace

// Guards against a 404 for turns that nodes of the previous version have stored, in streams of other names.
TEST(RetainedTurnFaults, TurnsOfThePreviousVersionAreNotSaidToBeMissing)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    for (std::uint32_t partition = 0; partition < 4; ++partition) {
        rig.store_.put(PartitionId{"turns-" + std::to_string(partition / 2), partition % 2}, "t1", "\ninput-t1;x\n");
    }
    const std::shared_ptr<ClientResponse> client = rig.send(1, turnAfter("t2", "t1"));
    rig.run(std::chrono::seconds(2));
    EXPECT_NE(client->status_, 404);
}

} // namespace filbertgw::test

#include "cli/explain.h"

#include <gtest/gtest.h>

#include <sstream>

namespace filbertgw {

// Guards against a report of a request that omits log lines of other nodes, contains other requests or isn't sorted by
// time.
TEST(Explain, PrintsOneRequestAndItsProgramInOrder)
{
    std::istringstream logs("time=3 node=b event=request_ended program=p1 request=r1 outcome=timed_out\n"
                            "time=1 node=a event=budget_asked program=p1 decision=granted\n"
                            "not a log line\n"
                            "time=2 node=b event=attempt_failed program=p1 request=r1 end=broken\n"
                            "time=2 node=b event=attempt_failed program=p2 request=r2 end=broken\n");
    std::ostringstream out;
    EXPECT_EQ(explainRequest("r1", logs, out), 3U);
    EXPECT_EQ(out.str().find("time=1"), 0U);
    EXPECT_EQ(out.str().find("p2"), std::string::npos);
    EXPECT_LT(out.str().find("time=2"), out.str().find("time=3"));
}

// Guards against a 401 of which nobody can tell whether the client, or a node that is behind, is at fault.
TEST(Explain, NamesTheCauseOfARefusedKey)
{
    std::istringstream logs("time=1 node=a event=configuration_in_force version=7\n"
                            "time=2 node=b event=configuration_in_force version=8\n"
                            "time=3 node=a event=request_ended request=r1 outcome=unauthenticated auth=unknown "
                            "configuration=7\n"
                            "time=4 node=a event=configuration_fetched version=8\n"
                            "time=5 node=b event=request_ended request=r2 outcome=unauthenticated auth=missing "
                            "configuration=8\n");
    std::ostringstream ofUnknown;
    EXPECT_EQ(explainRequest("r1", logs, ofUnknown), 1U);
    EXPECT_NE(ofUnknown.str().find("# a answered 401 to r1: no account has its key in version 7"), std::string::npos);
    EXPECT_NE(ofUnknown.str().find("#   time=1 node=a"), std::string::npos);
    EXPECT_EQ(ofUnknown.str().find("time=2"), std::string::npos) << "of another node";
    EXPECT_EQ(ofUnknown.str().find("time=4"), std::string::npos) << "after the request";
    logs.clear();
    logs.seekg(0);
    std::ostringstream ofMissing;
    explainRequest("r2", logs, ofMissing);
    EXPECT_NE(ofMissing.str().find("it had no key"), std::string::npos) << ofMissing.str();
}

// Guards against a 429 whose cause the operators can't see.
TEST(Explain, TellsWhyARequestWasRateLimited)
{
    std::istringstream logs("time=2 node=a event=request_ended request=r1 outcome=rate_limited account=a1\n"
                            "time=1 node=a event=request_rate_limited request=r1 account=a1 rate=20 decided_by=b\n"
                            "time=1 node=a event=request_rate_limited request=r2 account=a2 rate=10 decided_by=b\n");
    std::ostringstream out;
    EXPECT_EQ(explainRequest("r1", logs, out), 2U);
    EXPECT_EQ(out.str().find("time=1 node=a event=request_rate_limited request=r1 account=a1 rate=20 decided_by=b"),
              0U);
}

} // namespace filbertgw

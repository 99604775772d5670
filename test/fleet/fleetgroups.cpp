#include "fleet/fleetgroups.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace filbertgw::test {

/** \brief Number of nodes in each failure domain. */
struct FleetShape
{
    const char *name_;
    std::vector<std::size_t> domains_;
};

namespace {

bool everyNode(const FleetMember &)
{
    return true;
}

} // namespace

class GroupsOf : public testing::TestWithParam<FleetShape>
{
protected:
    GroupsOf()
    {
        for (std::size_t domain = 0; domain < GetParam().domains_.size(); ++domain) {
            for (std::size_t i = 0; i < GetParam().domains_[domain]; ++i) {
                FleetMember member;
                member.domain_ = "domain" + std::to_string(domain);
                member.name_ = member.domain_ + "-node" + std::to_string(i);
                members_.push_back(member);
            }
        }
    }

    FleetGroups groupsOf(std::size_t self) const
    {
        std::vector<const FleetMember *> others;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (i != self) {
                others.push_back(&members_[i]);
            }
        }
        return FleetGroups(members_[self], others);
    }

    std::vector<FleetMember> members_;
};

// Guards against nodes that get no summary of some group in a round.
TEST_P(GroupsOf, EachNodeIsToldOfEachOtherGroupInEachRound)
{
    std::map<std::string, std::set<std::string>> heard;
    std::set<std::string> groups;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const FleetGroups own = groupsOf(i);
        groups.insert(own.localGroup().name());
        heard[members_[i].name_].insert(own.localGroup().name());
        for (const FleetMember *target : own.summaryTargets(everyNode)) {
            heard[target->name_].insert(own.localGroup().name());
        }
    }
    for (const FleetMember &member : members_) {
        EXPECT_EQ(heard[member.name_], groups) << member.name_;
    }
}

// Guards against a number of messages that grows linearly with the fleet rather than with its square root.
TEST_P(GroupsOf, MessagesOfANodeGrowWithTheSquareRootOfTheFleet)
{
    std::size_t all = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const FleetGroups own = groupsOf(i);
        all += own.peers().size() + own.summaryTargets(everyNode).size();
    }
    const double nodes = static_cast<double>(members_.size());
    EXPECT_LE(static_cast<double>(all) / nodes, 4.0 * std::sqrt(nodes));
}

// Guards against nodes that get no summary because the node that would send it has failed.
TEST_P(GroupsOf, NodesOfAGroupThatAreLeftTellAllOthers)
{
    const auto isLeft = [this](const FleetMember &member) { return (&member - members_.data()) % 3 != 0; };
    std::map<std::string, std::set<std::string>> heard;
    std::set<std::string> groups;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (!isLeft(members_[i])) {
            continue;
        }
        const FleetGroups own = groupsOf(i);
        groups.insert(own.localGroup().name());
        heard[members_[i].name_].insert(own.localGroup().name());
        for (const FleetMember *target : own.summaryTargets(isLeft)) {
            heard[target->name_].insert(own.localGroup().name());
        }
    }
    for (const FleetMember &member : members_) {
        EXPECT_TRUE(!isLeft(member) || heard[member.name_] == groups) << member.name_;
    }
}

// Guards against nodes that know the same fleet but divide it differently.
TEST_P(GroupsOf, NodesOfAGroupAgreeOnIt)
{
    for (std::size_t i = 0; i < members_.size(); i += 7) {
        const FleetGroups own = groupsOf(i);
        for (const FleetMember *peer : own.peers()) {
            const FleetGroups theirs = groupsOf(static_cast<std::size_t>(peer - members_.data()));
            EXPECT_EQ(theirs.localGroup().name(), own.localGroup().name());
            EXPECT_TRUE(theirs.isPeer(members_[i].name_));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         GroupsOf,
                         testing::Values(FleetShape{"Nodes26", {9, 9, 8}},
                                         FleetShape{"Nodes88", {30, 29, 29}},
                                         FleetShape{"Nodes195", {43, 39, 39, 39, 35}},
                                         FleetShape{"Nodes390", {65, 65, 65, 65, 65, 65}},
                                         FleetShape{"OneDomain", {120}},
                                         FleetShape{"OneNodeInADomain", {60, 1}}),
                         [](const testing::TestParamInfo<FleetShape> &info) { return info.param.name_; });

} // namespace filbertgw::test

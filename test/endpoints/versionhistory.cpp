#include "endpoints/versionhistory.h"

#include <gtest/gtest.h>

#include <functional>

namespace filbertgw::test {

namespace {

constexpr Duration window = std::chrono::seconds(10);
constexpr Duration longAfter = std::chrono::seconds(11);

/** \brief A history with a clock that the test sets. */
struct History
{
    void pass(Duration time)
    {
        now_ += time;
    }

    Time now_{std::chrono::seconds(100)};
    VersionHistory versions_{[this] { return now_; }};
};

} // namespace

/** \brief What a node has seen of a service, and what it may conclude. */
struct HistoryCase
{
    const char *name_;
    std::function<void(History &history)> see_;
    VersionCount count_;
};

class VersionsSeen : public testing::TestWithParam<HistoryCase>
{
};

// Guards against a node that takes a service for one of one version though it can't know that.
TEST_P(VersionsSeen, CountOnlyIfTheyWereFollowedForLongEnough)
{
    History history;
    GetParam().see_(history);
    EXPECT_EQ(history.versions_.versionsOf("engines", window).count_, GetParam().count_);
}

namespace {

void followOne(History &history)
{
    history.versions_.setFollowed(true);
    history.versions_.add("engines", "v1");
    history.pass(longAfter);
}

void startLately(History &history)
{
    history.versions_.setFollowed(true);
    history.versions_.add("engines", "v1");
    history.pass(window / 2);
}

void loseTheRegistry(History &history)
{
    followOne(history);
    history.versions_.setFollowed(false);
}

void regainTheRegistry(History &history)
{
    loseTheRegistry(history);
    history.versions_.setFollowed(true);
    history.pass(window / 2);
}

void beginRelease(History &history)
{
    followOne(history);
    history.versions_.add("engines", "v2");
}

void endReleaseLately(History &history)
{
    beginRelease(history);
    history.versions_.remove("engines", "v1");
    history.pass(window / 2);
}

void endReleaseLongAgo(History &history)
{
    beginRelease(history);
    history.versions_.remove("engines", "v1");
    history.pass(longAfter);
}

void seeSeveralWithoutTheRegistry(History &history)
{
    beginRelease(history);
    history.versions_.setFollowed(false);
}

void seeAnotherService(History &history)
{
    followOne(history);
    history.versions_.add("tools", "v9");
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    VersionsSeen,
    testing::Values(HistoryCase{"Nothing", [](History &) {}, VersionCount::Unknown},
                    HistoryCase{"One", followOne, VersionCount::One},
                    HistoryCase{"StartedLately", startLately, VersionCount::Unknown},
                    HistoryCase{"RegistryLost", loseTheRegistry, VersionCount::Unknown},
                    HistoryCase{"RegistryRegained", regainTheRegistry, VersionCount::Unknown},
                    HistoryCase{"ReleaseBegins", beginRelease, VersionCount::Several},
                    HistoryCase{"ReleaseEndedLately", endReleaseLately, VersionCount::Several},
                    HistoryCase{"ReleaseEndedLongAgo", endReleaseLongAgo, VersionCount::One},
                    HistoryCase{"SeveralAndRegistryLost", seeSeveralWithoutTheRegistry, VersionCount::Several},
                    HistoryCase{"AnotherService", seeAnotherService, VersionCount::One}),
    [](const testing::TestParamInfo<HistoryCase> &info) { return info.param.name_; });

} // namespace filbertgw::test

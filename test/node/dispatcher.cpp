#include "node/dispatcher.h"

#include "config/configsection.h"

#include <gtest/gtest.h>

#include <memory>

using namespace filbertgw;

namespace {

struct RetryCase
{
    const char *name_;
    HttpOutcome first_; ///< How the first attempt's exchange ended.
    bool isCovered_; ///< Whether the budget covers a second run.
    std::size_t exchanges_; ///< Expected number of HTTP exchanges.
    bool isReservationRequested_;
    bool isCancelled_;
};

/** \brief A Dispatcher with fake hooks and controllers and one idempotent tool call. */
class DispatcherRetry : public testing::TestWithParam<RetryCase>
{
protected:
    DispatcherRetry()
    {
        EndpointInfo endpoint;
        endpoint.id_ = EndpointId("tool-1");
        endpoint.kind_ = CallKind::Tool;
        endpoint.address_ = "192.0.2.1:80";
        blackboard_.write<ConfigSection>().endpoints_[endpoint.id_] = endpoint;
        hooks_.now_ = [] { return Time(1'000'000); };
        hooks_.post_ = [this](std::function<void()> task) { posted_.push_back(std::move(task)); };
        hooks_.logEvent_ = [](const std::string & /*event*/, const nlohmann::json & /*fields*/) {};
        hooks_.startHttp_ = [this](HttpCall call) {
            exchanges_.push_back(std::move(call));
            return exchanges_.size();
        };
        hooks_.cancelHttp_ = [](std::uint64_t /*call*/) {};
        dispatcher_ = std::make_unique<Dispatcher>(hooks_, blackboard_, streams_, metrics_, Dispatcher::Limits());
        DispatcherHooks controllers;
        controllers.submit_ = [](const ScheduleRequest & /*request*/) {};
        controllers.cancel_ = [this](const ProgramId & /*program*/, const RequestId & /*request*/) {
            isCancelled_ = true;
        };
        controllers.attemptEnded_ = [this](const AttemptResult &result) { ended_.push_back(result.status_); };
        controllers.paused_ = [](const ProgramId & /*program*/, const std::string & /*tool*/) {};
        controllers.reserveRetry_ = [this](const ProgramId & /*program*/, const RequestId & /*request*/) {
            isReservationRequested_ = true;
            return GetParam().isCovered_;
        };
        dispatcher_->setControllers(controllers);
    }

    void startAttempt(std::uint32_t number)
    {
        StartOrder order;
        order.program_ = ProgramId("p000");
        order.requestId_ = RequestId("r1");
        order.endpoint_ = EndpointId("tool-1");
        order.attempt_ = number;
        dispatcher_->start(order);
    }

    void runPosted()
    {
        const std::vector<std::function<void()>> tasks = std::move(posted_);
        posted_.clear();
        for (const std::function<void()> &task : tasks) {
            task();
        }
    }

    Blackboard blackboard_;
    NodeHooks hooks_;
    TextStreams streams_;
    Metrics metrics_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::vector<HttpCall> exchanges_;
    std::vector<std::function<void()>> posted_;
    std::vector<AttemptStatus> ended_;
    bool isReservationRequested_ = false;
    bool isCancelled_ = false;
};

} // namespace

// Guards against a retry that exceeds the budget: if the first run may have cost something, a second one starts only
// after its worst case has been reserved as well.
TEST_P(DispatcherRetry, FollowsARunOnlyIfTheBudgetCoversIt)
{
    Dispatch dispatch;
    dispatch.call_.program_ = ProgramId("p000");
    dispatch.call_.requestId_ = RequestId("r1");
    dispatch.call_.kind_ = CallKind::Tool;
    dispatch.call_.target_ = "weigh";
    dispatcher_->dispatch(dispatch);
    startAttempt(1);
    ASSERT_EQ(exchanges_.size(), 1U);
    EXPECT_FALSE(isReservationRequested_);
    HttpResult result;
    result.outcome_ = GetParam().first_;
    exchanges_[0].onDone_(result);
    startAttempt(2);
    runPosted();
    EXPECT_EQ(exchanges_.size(), GetParam().exchanges_);
    EXPECT_EQ(isReservationRequested_, GetParam().isReservationRequested_);
    EXPECT_EQ(isCancelled_, GetParam().isCancelled_);
    EXPECT_EQ(ended_.size(), GetParam().isCancelled_ ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Retries,
    DispatcherRetry,
    testing::Values(RetryCase{"NotConnected", HttpOutcome::NotConnected, false, 2, false, false},
                    RetryCase{"InterruptedCovered", HttpOutcome::Interrupted, true, 2, true, false},
                    RetryCase{"InterruptedUncovered", HttpOutcome::Interrupted, false, 1, true, true},
                    RetryCase{"TimedOutUncovered", HttpOutcome::TimedOut, false, 1, true, true}),
    [](const testing::TestParamInfo<RetryCase> &info) { return std::string(info.param.name_); });

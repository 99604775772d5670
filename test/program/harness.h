#ifndef FILBERTGW_TEST_PROGRAM_HARNESS_H
#define FILBERTGW_TEST_PROGRAM_HARNESS_H

#include "fakes/fakelog.h"
#include "program/programcontroller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief Controller of one node in virtual time; its dispatches are collected and completed by the test. */
struct TestNode
{
    Blackboard blackboard_;
    std::unique_ptr<ProgramController> controller_;
    std::vector<Dispatch> dispatches_;
    std::vector<ProgramId> ended_;
    std::vector<RequestId> cancelled_;
    bool dead_ = false;
    bool paused_ = false;
    std::vector<std::function<void()>> deferred_;

    /** \brief Reports the outcome of the last dispatch, or of the one `back` dispatches before it. */
    void finish(DispatchStatus status, const std::string &body = "", std::uint32_t crashes = 0, std::size_t back = 0)
    {
        const Dispatch dispatch = dispatches_.at(dispatches_.size() - 1 - back);
        DispatchOutcome outcome;
        outcome.program_ = dispatch.call_.program_;
        outcome.requestId_ = dispatch.call_.requestId_;
        outcome.status_ = status;
        outcome.body_ = body;
        outcome.crashes_ = crashes;
        if (status == DispatchStatus::Answered) {
            outcome.usage_ = {dispatch.call_.kind_ == CallKind::Model ? 20 : 0, 1, dispatch.call_.priceMicros_};
            outcome.endpoint_ = EndpointId("engine-1");
        }
        controller_->onOutcome(outcome);
    }
};

/** \brief Several nodes with one fake log. `preferred_`, or else the first live node, is preferred for all slots. */
class Cluster
{
public:
    explicit Cluster(int nodes, ProgramSettings settings = {}, ProgramSafeguards safeguards = {})
        : log_(loop_, 7)
        , settings_(settings)
        , safeguards_(safeguards)
    {
        for (int i = 0; i < nodes; ++i) {
            start("n" + std::to_string(i));
        }
        run(1.0);
    }

    void start(const std::string &name)
    {
        const std::shared_ptr<TestNode> node = std::make_shared<TestNode>();
        nodes_[name] = node;
        TestNode *raw = node.get();
        ProgramHooks hooks;
        hooks.now_ = [this]() { return loop_.now(); };
        hooks.random_ = [this]() { return random_.next(); };
        hooks.log_ = log_.access([node](std::function<void()> run) {
            if (node->paused_) {
                node->deferred_.push_back(std::move(run));
            } else if (!node->dead_) {
                run();
            }
        });
        hooks.dispatch_ = [raw](const Dispatch &dispatch) { raw->dispatches_.push_back(dispatch); };
        hooks.cancel_ = [raw](const ProgramId &, const RequestId &request) { raw->cancelled_.push_back(request); };
        hooks.programEnded_ = [raw](const ProgramId &program) { raw->ended_.push_back(program); };
        hooks.isAlive_ = [this](const NodeId &id) { return alive_.count(id.value()) != 0; };
        hooks.preferredNode_ = [this](std::uint32_t) {
            return NodeId(preferred_.empty() ? alive_.begin()->first : preferred_);
        };
        node->controller_ = ProgramController::Builder(NodeId(name), node->blackboard_, std::move(hooks))
                                .setSettings(settings_)
                                .setSafeguards(safeguards_)
                                .build();
        alive_[name] = true;
        node->controller_->start();
    }

    TestNode &node(int i)
    {
        return *nodes_.at("n" + std::to_string(i));
    }
    ProgramController &at(int i)
    {
        return *node(i).controller_;
    }

    /** \brief Stops a node's process; with `seen`, the membership notices it at once. */
    void kill(int i, bool seen = true)
    {
        node(i).dead_ = true;
        if (seen) {
            alive_.erase("n" + std::to_string(i));
        }
    }
    void pause(int i)
    {
        node(i).paused_ = true;
    }
    void resume(int i)
    {
        node(i).paused_ = false;
        const std::vector<std::function<void()>> deferred = std::move(node(i).deferred_);
        node(i).deferred_.clear();
        for (const std::function<void()> &run : deferred) {
            run();
        }
    }

    void run(double seconds)
    {
        const Time end = loop_.now() + fromSeconds(seconds);
        while (loop_.now() < end) {
            loop_.runUntil(loop_.now() + std::chrono::milliseconds(100));
            for (const std::pair<const std::string, std::shared_ptr<TestNode>> &entry : nodes_) {
                if (!entry.second->dead_ && !entry.second->paused_) {
                    entry.second->controller_->tick();
                }
            }
        }
    }

    /** \brief Creates a program on a node. \return its id; empty on failure */
    ProgramId
    create(int i, Spend budget = {100'000, 50, 1'000}, const std::string &parent = "", Time deadline = Time(0))
    {
        CreateRequest request;
        request.requestId_ = RequestId("create-" + std::to_string(++created_));
        request.account_ = AccountId("office");
        request.parent_ = ProgramId(parent);
        request.budget_ = budget;
        request.deadline_ = deadline;
        ProgramId program;
        at(i).create(request,
                     [&program](const Result<ProgramId> &result) { program = result ? result.value() : ProgramId(); });
        run(0.5);
        return program;
    }

    static CallRequest call(const ProgramId &program, const std::string &request, bool idempotent = true)
    {
        CallRequest result;
        result.requestId_ = RequestId(request);
        result.program_ = program;
        result.account_ = AccountId("office");
        result.kind_ = idempotent ? CallKind::Model : CallKind::Tool;
        result.target_ = idempotent ? "model" : "salary_order";
        result.input_ = "input of " + request;
        result.maxTokens_ = 100;
        result.idempotent_ = idempotent;
        result.priceMicros_ = 1;
        return result;
    }

    /** \brief Submits a call. \return list to which its answers are appended */
    std::shared_ptr<std::vector<CallAnswer>> submit(int i, const CallRequest &request)
    {
        const std::shared_ptr<std::vector<CallAnswer>> answers = std::make_shared<std::vector<CallAnswer>>();
        at(i).submit(request, [answers](const CallAnswer &answer) { answers->push_back(answer); });
        run(0.5);
        return answers;
    }

    bench::VirtualLoop loop_;
    bench::FakeLog log_;
    bench::SeededRandom random_{11};
    ProgramSettings settings_;
    ProgramSafeguards safeguards_;
    std::map<std::string, std::shared_ptr<TestNode>> nodes_;
    std::map<std::string, bool> alive_;
    std::string preferred_;
    int created_ = 0;
};

} // namespace filbertgw::test

#endif

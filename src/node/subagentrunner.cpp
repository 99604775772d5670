#include "node/subagentrunner.h"

#include "node/errortable.h"

namespace filbertgw {

SubAgentRunner::SubAgentRunner(ProgramController &programs, std::function<void(std::function<void()>)> post)
    : programs_(programs)
    , post_(std::move(post))
{
}

void SubAgentRunner::run(const Dispatch &dispatch)
{
    CreateRequest create;
    create.requestId_ =
        RequestId("subagent/" + dispatch.call_.program_.value() + "/" + dispatch.call_.requestId_.value());
    create.account_ = dispatch.call_.account_;
    create.parent_ = dispatch.call_.program_;
    create.deadline_ = dispatch.call_.deadline_;
    // Posted because the controller dispatches from inside its own functions.
    post_([this, dispatch, create] {
        programs_.create(create, [this, dispatch](const Result<ProgramId> &created) {
            if (created) {
                call(dispatch, created.value());
                return;
            }
            CallAnswer refused;
            refused.failure_ = failureOf(created);
            report(dispatch, refused);
        });
    });
}

void SubAgentRunner::call(const Dispatch &dispatch, const ProgramId &child)
{
    CallRequest call = dispatch.call_;
    call.program_ = child;
    call.kind_ = CallKind::Model;
    programs_.submit(call, [this, dispatch, child](const CallAnswer &answer) {
        report(dispatch, answer);
        post_([this, dispatch, child] { programs_.end(child, dispatch.call_.account_, [](const CallAnswer &) {}); });
    });
}

void SubAgentRunner::report(const Dispatch &dispatch, const CallAnswer &answer)
{
    DispatchOutcome outcome;
    outcome.program_ = dispatch.call_.program_;
    outcome.requestId_ = dispatch.call_.requestId_;
    outcome.failure_ = answer.failure_;
    outcome.body_ = answer.body_;
    // The child program has already charged its spending to the budget of the tree.
    outcome.usage_ = Spend();
    outcome.status_ = DispatchStatus::Answered;
    if (answer.failure_) {
        outcome.status_ = answer.failure_->notRun_ ? DispatchStatus::NotSent : DispatchStatus::Failed;
    }
    post_([this, outcome] { programs_.onOutcome(outcome); });
}

} // namespace filbertgw

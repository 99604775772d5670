#include "promises/worldstate.h"

#include <algorithm>

namespace filbertgw::bench::internal {

void World::planCalls(PlannedProgram &program, int calls)
{
    for (int i = 0; i < calls; ++i) {
        PlannedCall call;
        call.program_ = program.name_;
        call.request_ = program.name_ + "-r" + std::to_string(i);
        const std::int64_t dice = random_.between(0, 99);
        call.idempotent_ = dice < 72;
        call.kind_ = dice < 55 ? "model" : "tool";
        call.target_ = call.kind_ == "model" ? "model-a" : (call.idempotent_ ? "read_sheet" : "salary_order");
        call.input_ = "text " + std::to_string(i) + " of " + program.name_;
        call.poison_ = call.kind_ == "model" && random_.chance(0.01);
        if (call.poison_) {
            call.input_ += " POISON";
        }
        program.calls_.push_back(call);
    }
}

void World::planCallers()
{
    const int roots = static_cast<int>(random_.between(8, 12));
    for (int i = 0; i < roots; ++i) {
        PlannedProgram program;
        program.name_ = "prog" + std::to_string(i);
        program.tree_ = program.name_;
        const bool tight = random_.chance(0.25);
        program.budgetTokens_ = tight ? random_.between(300, 4'000) : 200'000;
        program.budgetCalls_ = tight ? random_.between(3, 12) : 200;
        program.budgetMoney_ = tight ? random_.between(30, 200) : 100'000;
        planCalls(program, static_cast<int>(random_.between(3, 7)));
        const std::size_t plan = trace_.programs_.size();
        const std::size_t caller = callers_.size();
        trace_.programs_.push_back(program);
        callers_.emplace_back();
        callers_[caller].plan_ = plan;
        if (random_.chance(0.3)) {
            PlannedProgram sub;
            sub.name_ = program.name_ + "s";
            sub.tree_ = program.name_;
            planCalls(sub, static_cast<int>(random_.between(1, 4)));
            callers_[caller].children_.push_back(callers_.size());
            callers_[caller].childAfter_.push_back(static_cast<std::size_t>(random_.between(0, 2)));
            callers_.emplace_back();
            callers_.back().plan_ = trace_.programs_.size();
            callers_.back().parent_ = caller;
            trace_.programs_.push_back(sub);
        }
        const Micros begin = random_.between(2 * second, 25 * second);
        after(begin, [this, caller]() { sendCreate(caller); });
    }
}

void World::send(std::size_t index, const std::string &request, const Work &work, bool isEnd)
{
    Caller &caller = callers_[index];
    const PlannedProgram &plan = trace_.programs_[caller.plan_];
    const ProcessPtr process = pickNode();
    if (!process) {
        retry(index, second, [this, index, request, work, isEnd]() { send(index, request, work, isEnd); });
        return;
    }
    Attempt attempt;
    attempt.program_ = plan.name_;
    attempt.request_ = request;
    attempt.node_ = process->id_;
    attempt.sentAt_ = now();
    const std::size_t number = trace_.attempts_.size();
    trace_.attempts_.push_back(attempt);
    ++caller.open_[request];
    const std::shared_ptr<Waiting> connection = std::make_shared<Waiting>();
    connection->broken_ = [this, index, number, process, isEnd]() {
        trace_.attempts_[number].cut_ = true;
        trace_.attempts_[number].cutByPlannedStop_ = process->stoppedAsPlanned_;
        after(deployment_.callerOneWay_, [this, index, number, isEnd]() { onAnswer(index, number, nullptr, isEnd); });
    };
    process->waiting_.push_back(connection);
    ++process->open_;
    const Reply reply = [this, index, number, connection, process, isEnd](const FrontAnswer &answer) {
        --process->open_;
        ++trace_.attempts_[number].answers_;
        if (!connection->done_) {
            connection->done_ = true; // What has been sent arrives, even if the node ends now.
            after(deployment_.callerOneWay_,
                  [this, index, number, answer, isEnd]() { onAnswer(index, number, &answer.answer_, isEnd); });
        }
    };
    after(deployment_.callerOneWay_,
          [process, work, reply]() { runIn(process, [process, work, reply]() { work(process, reply); }); });
    after(callerPatience, [this, index, number, connection, isEnd]() {
        if (!connection->done_) {
            connection->done_ = true;
            onAnswer(index, number, nullptr, isEnd);
        }
    });
}

void World::retry(std::size_t index, Micros delay, std::function<void()> send)
{
    Caller &caller = callers_[index];
    ++caller.tries_;
    const Micros wait = std::max(delay, caller.tries_ > slowTries ? 2 * second : 200 * millisecond);
    after(wait + random_.between(0, 100) * millisecond, std::move(send));
}

void World::sendCreate(std::size_t index)
{
    const PlannedProgram &plan = trace_.programs_[callers_[index].plan_];
    CreateRequest request;
    request.requestId_ = RequestId("create-" + plan.name_);
    request.account_ = AccountId("account");
    request.budget_ = {plan.budgetTokens_, plan.budgetCalls_, plan.budgetMoney_};
    if (callers_[index].parent_ != SIZE_MAX) {
        request.parent_ = ProgramId(trace_.programs_[callers_[callers_[index].parent_].plan_].id_);
    }
    send(index, "create", [this, request](const ProcessPtr &process, const Reply &reply) {
        handleCreate(process, request, 0, reply);
    });
}

void World::sendCall(std::size_t index)
{
    Caller &caller = callers_[index];
    const PlannedProgram &plan = trace_.programs_[caller.plan_];
    const PlannedCall &planned = plan.calls_[caller.next_];
    CallRequest request;
    request.requestId_ = RequestId(planned.request_);
    request.program_ = ProgramId(plan.id_);
    request.account_ = AccountId("account");
    request.kind_ = planned.kind_ == "model" ? CallKind::Model : CallKind::Tool;
    request.target_ = planned.target_;
    request.input_ = planned.input_;
    request.maxTokens_ = request.kind_ == CallKind::Model ? 60 : 0;
    request.idempotent_ = planned.idempotent_;
    request.priceMicros_ = 10;
    const std::map<std::string, Micros>::const_iterator stopping = stoppingPrograms_.find(plan.id_);
    const bool isStopping = stopping != stoppingPrograms_.end() && now() - stopping->second < 2 * second;
    startTimes_.onSent(plan.id_ + "/" + planned.request_, now(), isStopping);
    const Work work = [this, request](const ProcessPtr &process, const Reply &reply) {
        CallRequest timed = request;
        timed.deadline_ = loop_.now() + Duration(callTimeout);
        handle(
            process,
            timed.program_,
            0,
            [timed](const ProcessPtr &owner, const Reply &done) {
                owner->controller_->submit(timed, [done](const CallAnswer &answer) { done(FrontAnswer{answer}); });
            },
            reply);
    };
    send(index, planned.request_, work);
    if (random_.chance(0.08)) {
        send(index, planned.request_, work); // An impatient caller, or a proxy that repeats.
    }
}

void World::sendEnd(std::size_t index)
{
    const PlannedProgram &plan = trace_.programs_[callers_[index].plan_];
    const ProgramId program(plan.id_);
    send(
        index,
        "end",
        [this, program](const ProcessPtr &process, const Reply &reply) {
            handle(
                process,
                program,
                0,
                [program](const ProcessPtr &owner, const Reply &done) {
                    owner->controller_->end(
                        program, AccountId("account"), [done](const CallAnswer &answer) { done(FrontAnswer{answer}); });
                },
                reply);
        },
        true);
}

void World::onAnswer(std::size_t index, std::size_t number, const CallAnswer *answer, bool isEnd)
{
    Attempt &attempt = trace_.attempts_[number];
    Caller &caller = callers_[index];
    const std::string request = attempt.request_;
    const bool isLastOpen = --caller.open_[request] == 0;
    if (isLastOpen) {
        caller.open_.erase(request);
    }
    if (answer != nullptr) {
        attempt.gotAt_ = now();
        attempt.body_ = answer->body_;
        attempt.replayed_ = answer->replayed_;
        if (answer->failure_) {
            attempt.failure_ = std::string(nameOf(answer->failure_->type_));
            attempt.notRun_ = answer->failure_->notRun_;
        }
    }
    if (caller.done_) {
        return;
    }
    PlannedProgram &plan = trace_.programs_[caller.plan_];
    const bool isFailed = answer == nullptr || answer->failure_;
    const Micros delay = isFailed && answer != nullptr ? count(answer->failure_->retryAfter_) : 0;
    if (request == "create") {
        const bool isHopeless =
            answer != nullptr && answer->failure_ && answer->failure_->type_ == FailureType::ProgramEnded;
        if (isHopeless) {
            caller.done_ = true;
        } else if (isFailed) {
            retry(index, delay, [this, index]() { sendCreate(index); });
        } else {
            plan.id_ = answer->program_.value();
            caller.tries_ = 0;
            advance(index);
        }
        return;
    }
    if (isEnd) {
        if (isFailed) {
            retry(index, delay, [this, index]() { sendEnd(index); });
        } else {
            plan.endedAt_ = now();
            caller.done_ = true;
        }
        return;
    }
    const bool isCurrent = caller.next_ < plan.calls_.size() && plan.calls_[caller.next_].request_ == request;
    if (!isCurrent) {
        return; // the second answer of a request that was sent twice
    }
    if (answer == nullptr) {
        if (isLastOpen) {
            retry(index, 0, [this, index]() { sendCall(index); });
        }
        return;
    }
    onCallAnswer(index, *answer, isLastOpen);
}

void World::onCallAnswer(std::size_t index, const CallAnswer &answer, bool isLastOpen)
{
    Caller &caller = callers_[index];
    bool isDefinite = !answer.failure_;
    if (answer.failure_) {
        const FailureType type = answer.failure_->type_;
        isDefinite = type == FailureType::BudgetExceeded || type == FailureType::Quarantined
            || (type == FailureType::OutcomeUnknown && answer.replayed_) || type == FailureType::ProgramEnded;
        caller.skipRest_ = caller.skipRest_ || type == FailureType::BudgetExceeded || type == FailureType::ProgramEnded;
    }
    if (isDefinite) {
        const std::map<std::string, Micros>::iterator watched = watched_.find(trace_.programs_[caller.plan_].id_);
        if (watched != watched_.end()) {
            takeovers_.push_back({watched->second, static_cast<double>(now() - watched->second) / second});
            watched_.erase(watched);
        }
        ++caller.next_;
        caller.tries_ = 0;
        advance(index);
    } else if (isLastOpen) {
        retry(index, count(answer.failure_->retryAfter_), [this, index]() { sendCall(index); });
    }
}

void World::advance(std::size_t index)
{
    Caller &caller = callers_[index];
    const PlannedProgram &plan = trace_.programs_[caller.plan_];
    for (std::size_t i = 0; i < caller.children_.size(); ++i) {
        Caller &child = callers_[caller.children_[i]];
        if (!child.started_ && caller.next_ >= caller.childAfter_[i]) {
            child.started_ = true;
            sendCreate(caller.children_[i]);
        }
    }
    if (!caller.skipRest_ && caller.next_ < plan.calls_.size()) {
        const Micros pause = random_.between(0, 1'500) * millisecond;
        after(pause, [this, index]() { sendCall(index); });
        return;
    }
    if (caller.parent_ != SIZE_MAX) {
        caller.done_ = true;
        return;
    }
    const bool waits = std::any_of(caller.children_.begin(), caller.children_.end(), [this](std::size_t child) {
        return callers_[child].started_ && !callers_[child].done_;
    });
    if (waits) {
        after(500 * millisecond, [this, index]() { advance(index); });
    } else {
        sendEnd(index);
    }
}

// Faults

} // namespace filbertgw::bench::internal

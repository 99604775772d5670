#include "promises/worldstate.h"

#include "promises/checker.h"

#include <algorithm>

namespace filbertgw::bench::internal {

void World::handle(const ProcessPtr &process, const ProgramId &program, int hops, const Work &work, const Reply &reply)
{
    const OwnerView view = process->controller_->ownerOf(program);
    const auto again = [this, process, program, hops, work, reply]() {
        after(30 * millisecond, [this, process, program, hops, work, reply]() {
            runIn(process,
                  [this, process, program, hops, work, reply]() { handle(process, program, hops + 1, work, reply); });
        });
    };
    if (view.ownership_ == Ownership::Own) {
        work(process, [again, hops, reply](const FrontAnswer &answer) {
            const std::optional<Failure> &failure = answer.answer_.failure_;
            if (failure && failure->type_ == FailureType::OwnerUnavailable && hops < maxHops) {
                again();
            } else {
                reply(answer);
            }
        });
        return;
    }
    FrontAnswer refused;
    refused.answer_.failure_ = Failure{};
    refused.answer_.failure_->retryAfter_ = std::chrono::milliseconds(300);
    if (view.ownership_ == Ownership::Other && hops < maxHops) {
        forward(process, view.node_, program, hops, work, reply);
        return;
    }
    refused.answer_.failure_->type_ = view.ownership_ == Ownership::Unknown && !process->controller_->isStoreUp()
        ? FailureType::StoreUnavailable
        : FailureType::OwnerUnavailable;
    reply(refused);
}

void World::forward(
    const ProcessPtr &from, const NodeId &to, const ProgramId &program, int hops, const Work &work, const Reply &reply)
{
    const ProcessPtr target = processNamed(to.value());
    const std::shared_ptr<Waiting> link = std::make_shared<Waiting>();
    const auto finish = [this, from, link, reply](const FrontAnswer &answer) {
        if (!link->done_) {
            link->done_ = true;
            after(peerOneWay, [from, reply, answer]() { runIn(from, [reply, answer]() { reply(answer); }); });
        }
    };
    FrontAnswer broken;
    broken.answer_.failure_ = Failure{};
    broken.answer_.failure_->type_ = FailureType::OwnerUnavailable;
    broken.answer_.failure_->retryAfter_ = std::chrono::milliseconds(300);
    link->broken_ = [this, from, reply, broken]() {
        after(peerOneWay, [from, reply, broken]() { runIn(from, [reply, broken]() { reply(broken); }); });
    };
    if (!target) {
        link->broken_();
        return;
    }
    target->waiting_.push_back(link);
    ++target->open_;
    after(peerOneWay, [this, target, program, hops, work, finish, link]() {
        runIn(target, [this, target, program, hops, work, finish]() {
            handle(target, program, hops + 1, work, [target, finish](const FrontAnswer &answer) {
                --target->open_;
                finish(answer);
            });
        });
    });
    after(callTimeout + second, [finish, broken]() { finish(broken); });
}

void World::handleCreate(const ProcessPtr &process, const CreateRequest &request, int hops, const Reply &reply)
{
    const Work work = [request](const ProcessPtr &owner, const Reply &done) {
        owner->controller_->create(request, [done](const Result<ProgramId> &result) {
            FrontAnswer answer;
            if (result) {
                answer.answer_.program_ = result.value();
            } else {
                answer.answer_.failure_ = failureOf(result);
            }
            done(answer);
        });
    };
    if (!request.parent_.isEmpty()) {
        handle(process, request.parent_, hops, work, reply);
        return;
    }
    work(process, [this, process, request, hops, reply](const FrontAnswer &answer) {
        const std::optional<Failure> &failure = answer.answer_.failure_;
        const ProcessPtr other = pickNode();
        if (failure && failure->type_ == FailureType::OwnerUnavailable && hops < 2 && other && other != process) {
            const Work again = [this, request, hops](const ProcessPtr &target, const Reply &done) {
                handleCreate(target, request, hops + 1, done);
            };
            // A node that is leaving passes new programs on.
            after(peerOneWay, [this, other, again, process, reply]() {
                runIn(other, [this, other, again, process, reply]() {
                    again(other, [this, process, reply](const FrontAnswer &passed) {
                        after(peerOneWay,
                              [process, reply, passed]() { runIn(process, [reply, passed]() { reply(passed); }); });
                    });
                });
            });
            return;
        }
        reply(answer);
    });
}

// Endpoints

SchedulerHooks World::schedulerHooksOf(const ProcessPtr &process)
{
    const std::weak_ptr<Process> weak = process;
    Process *raw = process.get();
    SchedulerHooks hooks;
    hooks.now_ = [this]() { return loop_.now(); };
    hooks.random_ = [this]() { return random_.next(); };
    hooks.start_ = [this, weak](const StartOrder &order) {
        if (const ProcessPtr self = weak.lock()) {
            startAttempt(self, order);
        }
    };
    hooks.finished_ = [this, weak](const ScheduleResult &result) {
        if (const ProcessPtr self = weak.lock()) {
            finishCall(self, result);
        }
    };
    hooks.order_ = [this, weak](const EndpointOrder &order) {
        if (const ProcessPtr self = weak.lock()) {
            onOrder(self, order);
        }
    };
    hooks.liveNodes_ = [raw]() { return static_cast<std::int32_t>(raw->view_.size()); };
    hooks.ownsEndpoint_ = [raw](const EndpointId &endpoint) {
        return raw->preferredFor(endpoint.value()) == raw->name_;
    };
    return hooks;
}

void World::dispatch(const ProcessPtr &process, const Dispatch &order)
{
    const CallRequest &call = order.call_;
    process->dispatches_[{call.program_, call.requestId_}] = order;
    ScheduleRequest request;
    request.requestId_ = call.requestId_;
    request.program_ = call.program_;
    request.root_ = order.root_;
    request.account_ = call.account_;
    request.kind_ = call.kind_;
    request.target_ = call.target_;
    request.idempotent_ = call.idempotent_;
    request.runAlone_ = order.runAlone_;
    request.promptTokens_ = static_cast<std::int64_t>(order.prompt_.size() / 4) + 1;
    request.maxTokens_ = call.maxTokens_;
    request.homeEngine_ = order.homeEngine_;
    request.deadline_ = call.deadline_;
    request.fencing_ = order.fencing_;
    request.programStarted_ = loop_.now();
    after(1, [process, request]() {
        runIn(process, [process, request]() {
            if (process->dispatches_.count({request.program_, request.requestId_}) != 0) {
                process->scheduler_->submit(request);
            }
        });
    });
}

void World::startAttempt(const ProcessPtr &process, const StartOrder &order)
{
    const std::map<Process::CallName, Dispatch>::const_iterator call =
        process->dispatches_.find({order.program_, order.requestId_});
    if (call == process->dispatches_.end()) {
        return;
    }
    const std::shared_ptr<RunHandle> handle = std::make_shared<RunHandle>();
    handle->process_ = process;
    handle->order_ = call->second;
    handle->attempt_ = order.attempt_;
    const bool isRetry =
        std::any_of(handles_.begin(), handles_.end(), [&handle](const std::shared_ptr<RunHandle> &earlier) {
            const Dispatch &a = earlier->order_;
            const Dispatch &b = handle->order_;
            return earlier->run_ != SIZE_MAX && earlier->process_ == handle->process_
                && a.call_.program_ == b.call_.program_ && a.call_.requestId_ == b.call_.requestId_
                && a.attempt_ == b.attempt_ && a.fencing_ == b.fencing_;
        });
    if (isRetry && !process->controller_->reserveRetry(order.program_, order.requestId_)) {
        refuseAttempt(process, order);
        return;
    }
    for (const std::unique_ptr<Endpoint> &endpoint : endpoints_) {
        if (endpoint->name_ == order.endpoint_.value()) {
            handle->endpoint_ = endpoint.get();
        }
    }
    handles_.push_back(handle);
    after(peerOneWay, [this, handle]() { receive(handle); });
    after(nodeTimeout,
          [this, handle]() { runIn(handle->process_, [this, handle]() { report(handle, AttemptStatus::TimedOut); }); });
}

void World::refuseAttempt(const ProcessPtr &process, const StartOrder &order)
{
    AttemptResult result;
    result.program_ = order.program_;
    result.requestId_ = order.requestId_;
    result.endpoint_ = order.endpoint_;
    result.attempt_ = order.attempt_;
    result.status_ = AttemptStatus::Cancelled;
    after(1, [process, result]() {
        runIn(process, [process, result]() {
            process->scheduler_->cancel(result.program_, result.requestId_);
            process->scheduler_->onAttemptEnded(result);
        });
    });
}

void World::onOrder(const ProcessPtr &process, const EndpointOrder &order)
{
    if (order.kind_ == OrderKind::Cancel) {
        for (const std::shared_ptr<RunHandle> &handle : handles_) {
            if (handle->process_ == process && !handle->over_ && handle->order_.call_.program_ == order.program_
                && handle->order_.call_.requestId_ == order.requestId_) {
                report(handle, AttemptStatus::Cancelled);
            }
        }
    }
    if (order.kind_ != OrderKind::Release || broken_ == "release") {
        return;
    }
    for (const std::unique_ptr<Endpoint> &endpoint : endpoints_) {
        if (endpoint->name_ == order.endpoint_.value()) {
            after(peerOneWay,
                  [engine = endpoint.get(), program = order.program_.value()]() { engine->held_.erase(program); });
        }
    }
}

void World::finishCall(const ProcessPtr &process, const ScheduleResult &result)
{
    const Process::CallName key(result.program_, result.requestId_);
    DispatchOutcome outcome;
    const std::map<Process::CallName, DispatchOutcome>::iterator answer = process->answers_.find(key);
    if (result.status_ == DispatchStatus::Answered && answer != process->answers_.end()) {
        outcome = answer->second;
    }
    outcome.program_ = result.program_;
    outcome.requestId_ = result.requestId_;
    outcome.status_ = result.status_;
    outcome.failure_ = result.failure_;
    outcome.endpoint_ = result.endpoint_;
    outcome.crashes_ = result.crashes_;
    if (process->crashed_.erase(key) != 0 && outcome.crashes_ == 0 && result.status_ != DispatchStatus::Answered) {
        outcome.crashes_ = 1; // The retry that would clear or convict the request was not made.
    }
    process->answers_.erase(key);
    process->dispatches_.erase(key);
    after(1,
          [process, outcome]() { runIn(process, [process, outcome]() { process->controller_->onOutcome(outcome); }); });
}

void World::healthChecks()
{
    for (const std::unique_ptr<Endpoint> &endpoint : endpoints_) {
        const bool isHealthy = endpoint->downUntil_ <= now();
        for (const ProcessPtr &process : processes_) {
            if (!process->dead_ && !process->paused_) {
                process->scheduler_->onEndpointHealth(EndpointId(endpoint->name_), isHealthy);
            }
        }
    }
    after(second, [this]() { healthChecks(); });
}

void World::receive(const std::shared_ptr<RunHandle> &handle)
{
    Endpoint &endpoint = *handle->endpoint_;
    const Dispatch &order = handle->order_;
    if (handle->process_->dead_ || handle->over_) {
        return;
    }
    const bool isDown = endpoint.downUntil_ > now() || endpoint.ownWord_;
    if (isDown || (!endpoint.isEngine_ && random_.chance(0.01))) {
        if (!order.call_.idempotent_) {
            startTimes_.onRefused(order.call_.program_.value() + "/" + order.call_.requestId_.value(), now());
        }
        report(handle, isDown ? AttemptStatus::NotSent : AttemptStatus::Rejected);
        return;
    }
    Run run;
    run.endpoint_ = endpoint.name_;
    run.node_ = handle->process_->id_;
    run.program_ = order.call_.program_.value();
    run.request_ = order.call_.requestId_.value();
    run.prompt_ = endpoint.isEngine_ ? order.prompt_ : order.call_.input_;
    run.startedAt_ = now();
    run.money_ = order.call_.priceMicros_;
    if (endpoint.isEngine_) {
        // As many tokens as the request allows: the budget must hold for the worst case.
        run.tokens_ = static_cast<std::int64_t>(order.prompt_.size() / 4) + 1 + order.call_.maxTokens_;
        endpoint.held_.emplace(run.program_, now());
    }
    handle->run_ = trace_.runs_.size();
    trace_.runs_.push_back(run);
    endpoint.running_.push_back(handle);
    const std::map<std::string, Micros>::iterator watched = watched_.find(run.program_);
    if (watched != watched_.end()) {
        takeovers_.push_back({watched->second, static_cast<double>(now() - watched->second) / second});
        watched_.erase(watched);
    }
    startTimes_.onStarted(run.program_ + "/" + run.request_, now());
    if (endpoint.isEngine_ && run.prompt_.find("POISON") != std::string::npos) {
        after(50 * millisecond, [this, &endpoint]() { crashEndpoint(endpoint); });
        return;
    }
    if (!endpoint.isEngine_ && random_.chance(toolHangs_)) {
        return;
    }
    const Micros length = endpoint.isEngine_ ? random_.between(50, 900) : random_.between(20, 300);
    after(length * millisecond, [this, handle]() { complete(handle); });
}

void World::stopRun(const std::shared_ptr<RunHandle> &handle)
{
    handle->stopped_ = true;
    Endpoint &endpoint = *handle->endpoint_;
    endpoint.running_.erase(std::remove(endpoint.running_.begin(), endpoint.running_.end(), handle),
                            endpoint.running_.end());
}

void World::complete(const std::shared_ptr<RunHandle> &handle)
{
    if (handle->stopped_) {
        return;
    }
    stopRun(handle);
    Run &run = trace_.runs_[handle->run_];
    run.endedAt_ = now();
    run.answered_ = true;
    if (random_.chance(lostToolAnswers_)) {
        return; // The node's timeout ends the call.
    }
    after(peerOneWay,
          [this, handle]() { runIn(handle->process_, [this, handle]() { report(handle, AttemptStatus::Answered); }); });
}

void World::report(const std::shared_ptr<RunHandle> &handle, AttemptStatus status)
{
    if (handle->over_) {
        return;
    }
    handle->over_ = true;
    if (handle->run_ != SIZE_MAX && !handle->stopped_ && handle->endpoint_->isEngine_) {
        stopRun(handle);
    }
    const ProcessPtr process = handle->process_;
    AttemptResult result;
    result.program_ = handle->order_.call_.program_;
    result.requestId_ = handle->order_.call_.requestId_;
    result.endpoint_ = EndpointId(handle->endpoint_->name_);
    result.attempt_ = handle->attempt_;
    result.status_ = status;
    DispatchOutcome answer;
    if (status == AttemptStatus::Answered) {
        const Run &run = trace_.runs_[handle->run_];
        answer.body_ = expectedAnswer(run.request_, run.prompt_);
        answer.usage_ = {run.tokens_, 1, run.money_};
        result.promptTokens_ = run.tokens_;
        result.latency_ = Duration(now() - run.startedAt_);
    }
    // The result comes from a socket, never from within the order itself.
    after(1, [process, result, answer]() {
        runIn(process, [process, result, answer]() {
            const Process::CallName key(result.program_, result.requestId_);
            if (result.status_ == AttemptStatus::Answered && process->dispatches_.count(key) != 0) {
                process->answers_[key] = answer;
            }
            if (result.status_ == AttemptStatus::Crashed) {
                process->crashed_.insert(key);
            }
            process->scheduler_->onAttemptEnded(result);
        });
    });
}

void World::cancel(const ProcessPtr &process, const ProgramId &program, const RequestId &request)
{
    after(1, [process, program, request]() {
        runIn(process, [process, program, request]() { process->scheduler_->cancel(program, request); });
    });
}

void World::crashEndpoint(Endpoint &endpoint)
{
    endpoint.downUntil_ = now() + random_.between(2, 6) * second;
    endpoint.held_.clear();
    const std::vector<std::shared_ptr<RunHandle>> running = endpoint.running_;
    for (const std::shared_ptr<RunHandle> &handle : running) {
        trace_.runs_[handle->run_].crashed_ = true;
        trace_.runs_[handle->run_].endedAt_ = now();
        stopRun(handle);
        after(peerOneWay, [this, handle]() {
            runIn(handle->process_, [this, handle]() { report(handle, AttemptStatus::Crashed); });
        });
    }
}

void World::sweep()
{
    for (const ProcessPtr &process : processes_) {
        if (process->dead_ || process->paused_ || !process->controller_->isReady() || !process->controller_->isStoreUp()
            || broken_ == "release") {
            continue;
        }
        for (const std::unique_ptr<Endpoint> &endpoint : endpoints_) {
            if (!endpoint->isEngine_ || process->preferredFor(endpoint->name_) != process->name_) {
                continue;
            }
            std::vector<ProgramId> gone;
            for (const std::pair<const std::string, Micros> &entry : endpoint->held_) {
                if (entry.second + 5 * second < now() && !process->controller_->isLive(ProgramId(entry.first))) {
                    gone.push_back(ProgramId(entry.first));
                }
            }
            process->scheduler_->onHeldPrograms(EndpointId(endpoint->name_), gone);
        }
    }
    after(5 * second, [this]() { sweep(); });
}

// Callers

} // namespace filbertgw::bench::internal

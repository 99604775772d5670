#include "promises/worldstate.h"

#include <algorithm>

namespace filbertgw::bench {

namespace internal {

World::World(const Deployment &deployment, std::uint64_t seed, std::string broken)
    : deployment_(deployment)
    , broken_(std::move(broken))
    , random_(seed * 0x2545f4914f6cdd1dULL + 99)
    , log_(loop_, seed + 1)
{
    loop_.runUntil(Time(startOfTime));
}

// Nodes

Trace World::run()
{
    nodeCount_ = static_cast<int>(random_.between(10, 12));
    for (int i = 0; i < deployment_.engines_ + deployment_.services_; ++i) {
        endpoints_.push_back(std::make_unique<Endpoint>());
        endpoints_.back()->isEngine_ = i < deployment_.engines_;
        endpoints_.back()->name_ = (endpoints_.back()->isEngine_ ? "engine-" : "service-") + std::to_string(i);
    }
    for (int i = 1; i <= nodeCount_; ++i) {
        startProcess("n" + std::to_string(i));
    }
    for (const ProcessPtr &process : processes_) {
        for (const ProcessPtr &other : processes_) {
            process->view_[other->name_] = PeerView();
        }
        process->viewChanged();
    }
    publishEndpoints();
    tickAll();
    after(5 * second, [this]() { sweep(); });
    heartbeats();
    healthChecks();
    planCallers();
    planFaults();
    const auto allDone = [this]() {
        return std::all_of(callers_.begin(), callers_.end(), [](const Caller &caller) {
            return caller.done_ || (caller.parent_ != SIZE_MAX && !caller.started_);
        });
    };
    Micros until = startOfTime + faultsEnd + 5 * second;
    loop_.runUntil(Time(until));
    while (!allDone() && until < startOfTime + longest) {
        until += second;
        loop_.runUntil(Time(until));
    }
    loop_.runUntil(Time(until + 25 * second)); // The sweep of engine memory has its time.
    collectEnd();
    return std::move(trace_);
}

void World::collectEnd()
{
    trace_.endAt_ = now();
    for (const std::unique_ptr<Endpoint> &endpoint : endpoints_) {
        for (const std::pair<const std::string, Micros> &entry : endpoint->held_) {
            trace_.heldAtEnd_.push_back({endpoint->name_, entry.first});
        }
    }
    for (const PlannedProgram &program : trace_.programs_) {
        for (const ProcessPtr &process : processes_) {
            if (!program.id_.empty() && !process->dead_) {
                trace_.histories_[program.id_][process->id_] = process->controller_->history(ProgramId(program.id_));
            }
        }
    }
    // Times are quoted only where nothing else disturbed them.
    const auto isClean = [this](Micros at, std::size_t crashesAllowed) {
        const Micros from = at - 3 * second;
        const Micros to = at + 9 * second;
        for (const std::pair<Micros, Micros> &disturbance : disturbances_) {
            if (disturbance.first < to && disturbance.second > from) {
                return false;
            }
        }
        const std::ptrdiff_t crashes = std::count_if(
            crashes_.begin(), crashes_.end(), [from, to](Micros crash) { return crash > from && crash < to; });
        return static_cast<std::size_t>(crashes) <= crashesAllowed;
    };
    for (const std::pair<Micros, double> &takeover : takeovers_) {
        if (isClean(takeover.first, 1)) {
            trace_.takeoverSeconds_.push_back(takeover.second);
        }
    }
    for (const CallStart &start : startTimes_.starts()) {
        if (isClean(start.sentAt_, 0)) {
            (start.duringStop_ ? trace_.stopStartSeconds_ : trace_.startSeconds_).push_back(start.seconds_);
        }
    }
}

} // namespace internal

Deployment deploymentNamed(const std::string &name)
{
    if (name == "kochuveli") {
        return {name, 14, 8, 1 * internal::millisecond};
    }
    if (name == "scalisi") {
        return {name, 12, 7, 3 * internal::millisecond};
    }
    return {};
}

Trace runSchedule(const Deployment &deployment, std::uint64_t seed, const std::string &broken)
{
    return internal::World(deployment, seed, broken).run();
}

} // namespace filbertgw::bench

#include "promises/worldstate.h"

#include "membership/membershipsection.h"

namespace filbertgw::bench::internal {

LogAccess World::logAccessOf(const ProcessPtr &process)
{
    const std::weak_ptr<Process> weak = process;
    Process *raw = process.get();
    return log_.access(
        [weak](std::function<void()> run) {
            if (const ProcessPtr self = weak.lock()) {
                runIn(self, std::move(run));
            }
        },
        [raw]() { return !raw->cutFromLog_; });
}

ProgramHooks World::hooksOf(const ProcessPtr &process)
{
    const std::weak_ptr<Process> weak = process;
    Process *raw = process.get();
    ProgramHooks hooks;
    hooks.now_ = [this]() { return loop_.now(); };
    hooks.random_ = [this]() { return random_.next(); };
    hooks.log_ = logAccessOf(process);
    hooks.dispatch_ = [this, weak](const Dispatch &order) {
        if (const ProcessPtr self = weak.lock()) {
            dispatch(self, order);
        }
    };
    hooks.cancel_ = [this, weak](const ProgramId &program, const RequestId &request) {
        if (const ProcessPtr self = weak.lock()) {
            cancel(self, program, request);
        }
    };
    hooks.programEnded_ = [this, weak](const ProgramId &program) {
        if (const ProcessPtr self = weak.lock()) {
            after(1,
                  [self, program]() { runIn(self, [self, program]() { self->scheduler_->onProgramEnded(program); }); });
        }
    };
    hooks.isAlive_ = [raw](const NodeId &node) {
        const std::map<std::string, PeerView>::const_iterator found = raw->view_.find(node.value());
        return found != raw->view_.end() && found->second.alive_;
    };
    hooks.preferredNode_ = [raw](std::uint32_t slot) { return NodeId(raw->preferred(slot)); };
    return hooks;
}

ProcessPtr World::startProcess(const std::string &name)
{
    const ProcessPtr process = std::make_shared<Process>();
    process->name_ = name;
    process->id_ = name + "/" + std::to_string(++processCount_);
    for (const ProcessPtr &other : processes_) {
        if (!other->dead_) {
            process->view_[other->name_] = PeerView{true, other->leaving_};
        }
    }
    process->view_[name] = PeerView();
    ProgramSafeguards safeguards;
    safeguards.fencing_ = broken_ != "fencing";
    safeguards.intent_ = broken_ != "intent";
    safeguards.readBack_ = broken_ != "read-back";
    safeguards.budget_ = broken_ != "budget";
    safeguards.dedup_ = broken_ != "dedup";
    process->controller_ = ProgramController::Builder(NodeId(name), process->blackboard_, hooksOf(process))
                               .setSafeguards(safeguards)
                               .build();
    process->life_ = trace_.processes_.size();
    trace_.processes_.push_back({process->id_, now(), 0, {}});
    processes_.push_back(process);
    process->config_ = ConfigController::Builder(process->blackboard_, configHooksOf(process)).build();
    process->scheduler_ =
        Scheduler::Builder().hooks(schedulerHooksOf(process)).blackboard(&process->blackboard_).build();
    process->controller_->start();
    process->config_->start();
    spreadState(name, true, false, 300 * millisecond, 700 * millisecond);
    return process;
}

ProcessPtr World::processNamed(const std::string &name) const
{
    for (std::vector<ProcessPtr>::const_reverse_iterator it = processes_.rbegin(); it != processes_.rend(); ++it) {
        if ((*it)->name_ == name && !(*it)->dead_) {
            return *it;
        }
    }
    return nullptr;
}

ProcessPtr World::pickNode()
{
    std::vector<ProcessPtr> live;
    for (const ProcessPtr &process : processes_) {
        if (!process->dead_ && !process->offBalancer_) {
            live.push_back(process);
        }
    }
    return live.empty()
        ? nullptr
        : live[static_cast<std::size_t>(random_.between(0, static_cast<std::int64_t>(live.size()) - 1))];
}

void World::tickAll()
{
    const std::vector<ProcessPtr> processes = processes_;
    for (const ProcessPtr &process : processes) {
        if (process->dead_ || process->paused_) {
            continue;
        }
        process->controller_->tick();
        process->config_->tick();
        process->scheduler_->tick();
    }
    after(100 * millisecond, [this]() { tickAll(); });
}

void World::spreadState(const std::string &name, bool alive, bool leaving, Micros delay, Micros jitter)
{
    for (const ProcessPtr &process : processes_) {
        if (process->dead_ || process->name_ == name) {
            continue;
        }
        Micros late = delay + random_.between(0, jitter);
        if (now() < staleViewsUntil_ && random_.chance(0.3)) {
            late += random_.between(0, 5 * second);
        }
        const ProcessPtr target = process;
        after(late, [this, target, name, alive, leaving]() {
            runIn(target, [this, target, name, alive, leaving]() {
                // News that the truth has overtaken would be refuted by a higher incarnation.
                const ProcessPtr truth = processNamed(name);
                const bool isStale = truth ? !alive && !truth->paused_ : alive;
                if (!isStale) {
                    target->view_[name] = PeerView{alive, leaving};
                    target->viewChanged();
                }
            });
        });
    }
}

void World::watchTakeover(const ProcessPtr &process)
{
    for (const Caller &caller : callers_) {
        const std::string &id = trace_.programs_[caller.plan_].id_;
        if (id.empty() || caller.done_ || caller.open_.empty()) {
            continue;
        }
        const OwnerView view = process->controller_->ownerOf(ProgramId(id));
        if (view.ownership_ == Ownership::Own) {
            watched_[id] = now();
        }
    }
}

void World::kill(const ProcessPtr &process, bool planned)
{
    if (process->dead_) {
        return;
    }
    if (!planned) {
        watchTakeover(process);
        crashes_.push_back(now());
    }
    process->dead_ = true;
    process->stoppedAsPlanned_ = planned;
    process->held_.clear();
    trace_.processes_[process->life_].to_ = now();
    const std::vector<std::shared_ptr<Waiting>> waiting = std::move(process->waiting_);
    process->waiting_.clear();
    for (const std::shared_ptr<Waiting> &entry : waiting) {
        if (!entry->done_) {
            entry->done_ = true;
            entry->broken_();
        }
    }
    // The controller is kept until the end of the schedule: callbacks into it are dropped by runIn().
    spreadState(process->name_, false, false, planned ? 100 * millisecond : detection, 200 * millisecond);
}

void World::pause(const ProcessPtr &process, Micros length)
{
    process->paused_ = true;
    trace_.processes_[process->life_].troubles_.push_back({now(), now() + length + second});
    disturbances_.push_back({now(), now() + length + 2 * second});
    after(detection, [this, process]() {
        if (process->paused_ && !process->dead_) {
            spreadState(process->name_, false, false, 0, 200 * millisecond);
        }
    });
    after(length, [this, process]() { resume(process); });
}

void World::resume(const ProcessPtr &process)
{
    if (process->dead_ || !process->paused_) {
        return;
    }
    process->paused_ = false;
    const std::vector<std::function<void()>> held = std::move(process->held_);
    process->held_.clear();
    for (const std::function<void()> &run : held) {
        runIn(process, run);
    }
    spreadState(process->name_, true, process->leaving_, 500 * millisecond, 500 * millisecond);
}

void World::plannedStop(const ProcessPtr &process)
{
    for (const Caller &caller : callers_) {
        const std::string &id = trace_.programs_[caller.plan_].id_;
        if (!id.empty() && process->controller_->ownerOf(ProgramId(id)).ownership_ == Ownership::Own) {
            stoppingPrograms_[id] = now();
        }
    }
    if (broken_ == "drain") {
        kill(process, true);
        return;
    }
    process->leaving_ = true;
    process->view_[process->name_].leaving_ = true;
    process->preferred_.clear();
    spreadState(process->name_, true, true, 20 * millisecond, 100 * millisecond);
    after(second, [process]() { process->offBalancer_ = true; });
    // The announcement goes first, so that the successors are known when programs are released.
    after(150 * millisecond, [process]() { runIn(process, [process]() { process->controller_->drain(); }); });
    const Micros since = now();
    after(500 * millisecond, [this, process, since]() { continueStop(process, since); });
}

void World::continueStop(const ProcessPtr &process, Micros since)
{
    if (process->dead_) {
        return;
    }
    if (!process->paused_ && process->controller_->isDrained() && process->open_ == 0 && now() - since > 2 * second) {
        note("stopped " + process->id_);
        kill(process, true);
        return;
    }
    after(100 * millisecond, [this, process, since]() { continueStop(process, since); });
}

void World::noteMassLoss()
{
    for (const ProcessPtr &process : processes_) {
        if (!process->dead_) {
            process->blackboard_.write<MembershipSection>().massLoss_ = true;
            after(15 * second, [process]() { process->blackboard_.write<MembershipSection>().massLoss_ = false; });
        }
    }
}

// Configuration

ConfigHooks World::configHooksOf(const ProcessPtr &process)
{
    const std::weak_ptr<Process> weak = process;
    Process *raw = process.get();
    ConfigHooks hooks;
    hooks.now_ = [this]() { return loop_.now(); };
    hooks.random_ = [this]() { return random_.next(); };
    hooks.log_ = logAccessOf(process);
    if (broken_ == "config-order") {
        hooks.log_.read_ = withoutOrder(hooks.log_.read_);
    }
    hooks.changed_ = [this, raw]() {
        noteServed(*raw);
        std::vector<EndpointInfo> endpoints;
        for (const std::pair<const EndpointId, EndpointInfo> &entry :
             raw->blackboard_.read<ConfigSection>().endpoints_) {
            endpoints.push_back(entry.second);
        }
        raw->scheduler_->setEndpoints(endpoints);
    };
    hooks.rank_ = [raw]() {
        return static_cast<std::uint32_t>(std::distance(raw->view_.begin(), raw->view_.find(raw->name_)));
    };
    hooks.fetchFromPeer_ = [this, weak](const NodeId &peer, Offset from) {
        const ProcessPtr self = weak.lock();
        const ProcessPtr target = processNamed(peer.value());
        if (self && target) {
            fetchConfig(self, target, from);
        }
    };
    return hooks;
}

std::function<void(const std::string &, Offset, Duration, LogAccess::ReadDone)>
World::withoutOrder(std::function<void(const std::string &, Offset, Duration, LogAccess::ReadDone)> read)
{
    // Each record seems to replace the one before it, so that the fold can't tell which of two was the earlier.
    const std::shared_ptr<std::map<std::string, Offset>> last = std::make_shared<std::map<std::string, Offset>>();
    return [read, last](const std::string &stream, Offset from, Duration wait, LogAccess::ReadDone done) {
        read(stream, from, wait, [last, done](bool reached, LogPage page) {
            for (LogEntry &entry : page.entries_) {
                Offset &before = (*last)[keyOf(entry.body_)];
                entry.body_["replaces"] = before;
                before = entry.offset_;
            }
            done(reached, page);
        });
    };
}

void World::noteServed(Process &process)
{
    for (const std::pair<const std::pair<std::string, std::string>, Offset> &entry :
         process.blackboard_.read<ConfigSection>().inForce_) {
        const std::string key = entry.first.first + "/" + entry.first.second;
        Offset &noted = process.served_[key];
        if (noted != entry.second) {
            noted = entry.second;
            trace_.served_.push_back({process.id_, key, entry.second, now()});
        }
    }
}

void World::fetchConfig(const ProcessPtr &process, const ProcessPtr &peer, Offset from)
{
    constexpr std::size_t limit = 256;
    after(peerOneWay, [this, process, peer, from]() {
        runIn(peer, [this, process, peer, from]() {
            const std::vector<LogEntry> entries = peer->config_->entriesFrom(from, limit);
            after(peerOneWay, [process, entries]() {
                runIn(process, [process, entries]() { process->config_->onPeerEntries(entries); });
            });
        });
    });
}

void World::heartbeats()
{
    for (const ProcessPtr &process : processes_) {
        const ProcessPtr peer = process->dead_ || process->paused_ ? nullptr : pickNode();
        if (peer && peer != process) {
            const Offset offset = process->blackboard_.read<ConfigSection>().offset_;
            after(peerOneWay, [process, peer, offset]() {
                runIn(peer, [process, peer, offset]() { peer->config_->onPeerOffset(NodeId(process->name_), offset); });
            });
        }
    }
    after(250 * millisecond, [this]() { heartbeats(); });
}

Offset World::publish(const std::string &kind, const std::string &name, Offset replaces, const nlohmann::json &body)
{
    return publishRecord({{"kind", kind},
                          {"name", name},
                          {"schema", 1},
                          {"id", "operator-" + std::to_string(++records_)},
                          {"replaces", replaces},
                          {"body", body}},
                         true);
}

Offset World::publishRecord(const nlohmann::json &record, bool valid)
{
    if (log_.faults().down_) {
        return 0;
    }
    const Offset offset = log_.put("config", {record});
    const std::string key = keyOf(record);
    trace_.config_.push_back({offset, now(), key, record.value("replaces", Offset(0)), valid});
    if (valid && operatorView_[key] == record.value("replaces", Offset(0))) {
        operatorView_[key] = offset;
    }
    return offset;
}

void World::publishEndpoints()
{
    for (const std::unique_ptr<Endpoint> &endpoint : endpoints_) {
        nlohmann::json body = {{"address", "10.0.0.1:80"}, {"domain", "domain-a"}};
        if (endpoint->isEngine_) {
            body["kind"] = "model";
            body["models"] = {"model-a"};
        } else {
            body["kind"] = "tool";
            body["operations"] = {"read_sheet", "salary_order"};
            body["non_idempotent"] = {"salary_order"};
        }
        publish("endpoint", endpoint->name_, 0, body);
    }
    publish("weights", "default", 0, {{"latency", 1}, {"wasted_cache", 1}});
}

// Front

} // namespace filbertgw::bench::internal

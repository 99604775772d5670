#include "promises/worldstate.h"

namespace filbertgw::bench::internal {

void World::planFaults()
{
    // Every fourth schedule has crashes and planned stops only, so that their times can be measured undisturbed.
    const bool calm = random_.chance(0.25);
    const int faults = static_cast<int>(calm ? random_.between(1, 3) : random_.between(3, 9));
    for (int i = 0; i < faults; ++i) {
        after(random_.between(4 * second, faultsEnd - 5 * second), [this, calm]() { injectFault(calm); });
    }
    lostToolAnswers_ = random_.chance(0.5) ? 0.03 : 0.002;
    toolHangs_ = random_.chance(0.5) ? 0.04 : 0.003;
    after(faultsEnd, [this]() { heal(); });
}

void World::injectFault(bool calm)
{
    const ProcessPtr node = pickNode();
    const std::int64_t kind = calm ? (random_.chance(0.6) ? 0 : 5) : random_.between(0, 19);
    FakeLogFaults &faults = log_.faults();
    if (!node) {
        return;
    }
    const auto crash = [this](const ProcessPtr &victim) {
        note("crash " + victim->id_);
        kill(victim, false);
        const bool sameName = random_.chance(0.3);
        const std::string name = sameName ? victim->name_ : "n" + std::to_string(++nodeCount_);
        after(random_.between(300 * millisecond, 12 * second), [this, name]() {
            if (!processNamed(name)) {
                startProcess(name);
            }
        });
    };
    if (kind <= 2) {
        crash(node);
    } else if (kind <= 4) {
        const Micros length = random_.between(200, 14'000) * millisecond;
        note("pause " + node->id_ + " for " + std::to_string(length / millisecond));
        pause(node, length);
    } else if (kind <= 6) {
        note("planned stop " + node->id_);
        plannedStop(node);
        const std::string name = "n" + std::to_string(++nodeCount_);
        after(random_.between(1, 4) * second, [this, name]() { startProcess(name); });
    } else if (kind == 7) {
        const Micros length = random_.between(500, 15'000) * millisecond;
        note("log outage " + std::to_string(length / millisecond));
        faults.down_ = true;
        trace_.logTroubles_.push_back({now(), now() + length + 3 * second});
        disturbances_.push_back({now(), now() + length + 3 * second});
        after(length, [this]() { log_.faults().down_ = false; });
    } else if (kind == 8) {
        const Micros length = random_.between(2, 10) * second;
        note("slow log");
        faults.extraDelay_ = std::chrono::milliseconds(random_.between(100, 900));
        disturbances_.push_back({now(), now() + length + 2 * second});
        after(length, [this]() { log_.faults().extraDelay_ = Duration(0); });
    } else if (kind <= 10) {
        const Micros length = random_.between(3, 15) * second;
        note("lossy log");
        faults.lostAnswers_ = 0.25;
        faults.lostRequests_ = 0.1;
        faults.lateEffects_ = 0.1;
        disturbances_.push_back({now(), now() + length + 2 * second});
        after(length, [this]() {
            log_.faults().lostAnswers_ = 0;
            log_.faults().lostRequests_ = 0;
            log_.faults().lateEffects_ = 0;
        });
    } else if (kind == 11) {
        Endpoint &endpoint = *endpoints_[static_cast<std::size_t>(random_.between(0, deployment_.engines_ - 1))];
        note("engine crash " + endpoint.name_);
        crashEndpoint(endpoint);
    } else if (kind == 12) {
        const std::size_t index =
            static_cast<std::size_t>(random_.between(0, static_cast<std::int64_t>(endpoints_.size()) - 1));
        Endpoint &endpoint = *endpoints_[index];
        const Offset base = operatorView_["drain/" + endpoint.name_];
        if (base == 0 && publish("drain", endpoint.name_, base, {{"draining", true}}) != 0) {
            note("leaving " + endpoint.name_);
            trace_.leaving_.push_back({endpoint.name_, now()});
            if (random_.chance(0.5)) {
                after(random_.between(0, 2) * second, [&endpoint]() { endpoint.ownWord_ = true; });
            }
        }
    } else if (kind == 13) {
        note("racing operators");
        const Offset base = operatorView_["weights/default"];
        for (int i = 0; i < 3; ++i) {
            after(random_.between(0, 30) * millisecond, [this, base, i]() {
                publish("weights", "default", base, {{"latency", i}, {"wasted_cache", 1}});
            });
        }
        const nlohmann::json other = {{"kind", "weights"},
                                      {"name", "default"},
                                      {"schema", random_.chance(0.5) ? 9 : 1},
                                      {"id", "operator-" + std::to_string(++records_)},
                                      {"replaces", base},
                                      {"body", {{"latency", "much"}}}};
        publishRecord(other, false); // a newer schema or an invalid body
    } else if (kind == 14) {
        const Micros length = random_.between(1, 10) * second;
        note("cut from the log " + node->id_);
        node->cutFromLog_ = true;
        trace_.processes_[node->life_].troubles_.push_back({now(), now() + length + 3 * second});
        disturbances_.push_back({now(), now() + length + 2 * second});
        after(length, [node]() { node->cutFromLog_ = false; });
    } else if (kind == 15) {
        const Micros length = random_.between(2, 15) * second;
        note("stale membership views");
        staleViewsUntil_ = now() + length;
        disturbances_.push_back({now(), now() + length + 5 * second});
    } else if (kind == 16) {
        const Micros length = random_.between(2, 20) * second;
        note("hanging tools");
        toolHangs_ = 0.2;
        after(length, [this]() { toolHangs_ = 0.003; });
    } else if (kind <= 18) {
        // The claims are seen late, so that former owners go on for a while.
        note("disputed owners");
        faults.extraDelay_ = std::chrono::milliseconds(random_.between(300, 900));
        disturbances_.push_back({now(), now() + 10 * second});
        for (int i = 0; i < 4; ++i) {
            after(random_.between(0, 4) * second, [this]() { falseDeath(pickNode()); });
        }
        after(6 * second, [this]() { log_.faults().extraDelay_ = Duration(0); });
    } else {
        falseDeath(node);
        if (random_.chance(0.15)) {
            note("mass loss");
            for (int i = 0; i < 4; ++i) {
                if (const ProcessPtr lost = pickNode()) {
                    crash(lost);
                }
            }
            noteMassLoss();
        }
    }
}

void World::falseDeath(const ProcessPtr &victim)
{
    if (!victim) {
        return;
    }
    note("false death of " + victim->id_);
    disturbances_.push_back({now(), now() + 6 * second});
    for (const ProcessPtr &process : processes_) {
        if (!process->dead_ && process != victim && random_.chance(0.6)) {
            runIn(process, [process, victim]() {
                process->view_[victim->name_].alive_ = false;
                process->viewChanged();
            });
        }
    }
    spreadState(victim->name_, true, victim->leaving_, 2 * second, 2 * second);
}

void World::heal()
{
    staleViewsUntil_ = 0;
    log_.faults() = FakeLogFaults();
    lostToolAnswers_ = 0;
    toolHangs_ = 0;
    for (const ProcessPtr &process : processes_) {
        process->cutFromLog_ = false;
        resume(process);
    }
    for (const ProcessPtr &process : processes_) {
        if (!process->dead_) {
            spreadState(process->name_, true, process->leaving_, 500 * millisecond, 500 * millisecond);
        }
    }
}

} // namespace filbertgw::bench::internal

#include "gateway/gateway.h"

#include "core/numbers.h"

#include "gateway/gatewaycall.h"
#include "gateway/gatewayprivate.h"

#include <algorithm>
#include <iterator>

namespace filbertgw {

namespace internal {
namespace {

constexpr Duration housekeepingInterval{100'000};
/** In the first part of the grace period of a stop, requests are accepted that may outlast it; most are short. */
constexpr std::int64_t graceDivisor = 3;
/** Accounts with series of their own in the metrics; the others share one. */
constexpr std::size_t maxAccountLabels = 100;
/** Runs of the housekeeping between two log entries on the engine models. */
constexpr std::uint64_t housekeepingRunsPerLog = 50;
/** Time without the store after which a node reports itself as not ready if others can take its connections. */
constexpr Duration partitionTimeout{1'800'000};
/** Name of the state whose holder deletes expired crash records from the store. \sa Fleet::holderOf */
const char *const crashState = "crashes";

bool hasQuotas(const AccountDirectory *accounts)
{
    return accounts != nullptr
        && std::any_of(accounts->accounts().begin(), accounts->accounts().end(), [](const auto &entry) {
               return entry.second.hasQuota();
           });
}

} // namespace
} // namespace internal

Gateway::Private::Private(GatewayHooks hooks, GatewaySettings settings)
    : hooks_(std::move(hooks))
    , settings_(std::move(settings))
    , configurationPeers_(configurationPeersHooks(), settings_.configurationPeers_)
    , lastRunAt_(hooks_.now_())
    , directory_(hooks_.now_)
    , placement_(hooks_.now_, hooks_.random_, settings_.placement_)
    , cacheDiscovery_(cacheDiscoveryHooks(), settings_.cacheDiscovery_)
    , ledger_(ProgramLedgerHooks{hooks_.now_,
                                 hooks_.after_,
                                 hooks_.store_,
                                 nullptr,
                                 [this] { return fleet_.alive() + 1; },
                                 [this] { return fleet_.allGrantsRecorded(); },
                                 [this](const std::string &program) { budget_.announceSpending(program); }},
              settings_.ledger_,
              settings_.ledgerPartitions_)
    , answeredTargets_(hooks_.now_)
    , quarantine_(quarantineHooks(), settings_.quarantine_)
    , crashDetector_(crashDetectorHooks(), settings_.crashDetector_)
    , crashStream_(crashStreamHooks(), settings_.ledger_.writer_)
    , limits_(endpointLimitHooks(), settings_.limits_)
    , outliers_(outlierDetectorHooks(), settings_.outliers_)
    , retries_(settings_.retries_)
    , reachability_(reachabilityHooks(), settings_.reachability_)
    , fleet_(fleetHooks(), settings_.fleet_)
    , origins_(streamOriginsHooks(), settings_.origins_)
    , outputs_(streamOutputsHooks(), settings_.outputs_)
    , relayedStore_(
          hooks_.store_,
          RelayedStoreHooks{hooks_.askPeer_, hooks_.logEvent_},
          [this] { return ledger_.isReachable(); },
          fleet_)
    , turns_(turnStoreHooks(), settings_.turns_)
    , missedGrants_(missedGrantHooks())
    , budget_(budgetHooks(), ledger_)
    , admission_(settings_.admission_)
    , accountAdmission_(hooks_.now_, settings_.accountAdmission_)
    , accountLabels_("account", internal::maxAccountLabels)
    , pace_(hooks_.now_, settings_.pace_)
    , retryAfter_(settings_.retryAfter_)
    , quota_(quotaHooks(), settings_.quota_)
{
}

ServiceLoad Gateway::Private::loadOf(const std::string &service)
{
    ServiceLoad load;
    const std::vector<const Endpoint *> &endpoints = directory_.ready(service);
    double slots = 0.0;
    for (const Endpoint *endpoint : endpoints) {
        slots += endpoint->slots_;
    }
    if (slots > 0.0) {
        const double running = placement_.running(endpoints);
        load.requestsPerSlot_ = running / slots;
        load.slotsPerEndpoint_ = slots / static_cast<double>(endpoints.size());
        load.slowdown_ = placement_.engines().slowdown(service, running / static_cast<double>(endpoints.size()));
    }
    load.allowedSlowdown_ = pace_.allowedSlowdown(service);
    return load;
}

AccountAdmission::RefusedShare Gateway::Private::refusedShareOf(const std::string &service)
{
    return [this, load = loadOf(service)](std::uint32_t priority) { return admission_.refusedShare(load, priority); };
}

void Gateway::Private::updateAccountAdmission()
{
    if (!routing_ || routing_->accounts() == nullptr) {
        return;
    }
    for (const std::pair<const std::string, Service> &service : routing_->services()) {
        if (service.second.engine_) {
            accountAdmission_.update(service.first, refusedShareOf(service.first));
        }
    }
}

TurnStoreHooks Gateway::Private::turnStoreHooks()
{
    TurnStoreHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.timeOfDay_ = hooks_.timeOfDay_;
    hooks.after_ = hooks_.after_;
    hooks.store_ = relayedStore_.access();
    hooks.holderOf_ = [this](const std::string &partition) -> std::optional<std::string> {
        const std::optional<FleetMember> holder = fleet_.holderOf(partition);
        return holder ? std::optional<std::string>(holder->linkAddress_) : std::nullopt;
    };
    hooks.knowsHolders_ = [this] { return fleet_.isDiscoveryComplete(); };
    hooks.askPeer_ = hooks_.askPeer_;
    hooks.logEvent_ = hooks_.logEvent_;
    return hooks;
}

CacheDiscoveryHooks Gateway::Private::cacheDiscoveryHooks()
{
    CacheDiscoveryHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.listCachedParts_ = hooks_.listCache_;
    hooks.onCachedPart_ = [this](const std::string &endpoint, const PromptPart &part) {
        if (directory_.find(endpoint) != nullptr) {
            placement_.addCachedPart(CachedPart{endpoint, part.id_, part.tokens_});
        }
    };
    hooks.logEvent_ = hooks_.logEvent_;
    return hooks;
}

QuarantineHooks Gateway::Private::quarantineHooks()
{
    QuarantineHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.random_ = hooks_.random_;
    hooks.onQuarantined_ = [this](const std::string &request) {
        hooks_.logEvent_("request_quarantined", {{"content", request}, {"crashes", quarantine_.crashes(request)}});
        hooks_.count_("requests_quarantined_total", {});
    };
    hooks.onExcused_ = [this](const std::vector<CrashRecord> &records) { crashStream_.append(records); };
    hooks.isTrialNode_ = [this](const std::string &request) { return fleet_.isChosen(request, 1); };
    return hooks;
}

CrashDetectorHooks Gateway::Private::crashDetectorHooks()
{
    CrashDetectorHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.probe_ = hooks_.probeEndpoint_;
    hooks.checkPath_ = [this](const Endpoint &suspect, std::function<void(bool)> done) {
        reachability_.check(suspect, done);
    };
    hooks.onCrash_ = [this](const std::string &incarnation, const std::vector<RequestFingerprints> &requests) {
        recordCrash(incarnation, requests);
    };
    hooks.logEvent_ = hooks_.logEvent_;
    return hooks;
}

CrashStreamHooks Gateway::Private::crashStreamHooks()
{
    CrashStreamHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.after_ = hooks_.after_;
    hooks.store_ = hooks_.store_;
    hooks.onRecord_ = [this](const CrashRecord &record) { quarantine_.addStored(record); };
    hooks.onRemoved_ = [this](const std::string &request, const std::string &endpoint) {
        quarantine_.remove(request, endpoint);
    };
    return hooks;
}

EndpointLimitHooks Gateway::Private::endpointLimitHooks()
{
    EndpointLimitHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.isChosen_ = [this](const std::string &key, std::size_t count) { return fleet_.isChosen(key, count); };
    hooks.onLimited_ = [this](const std::string &incarnation, double requestsPerSecond) {
        hooks_.logEvent_("endpoint_limited", {{"endpoint", incarnation}, {"requests_per_second", requestsPerSecond}});
    };
    hooks.onEnded_ = [this](const std::string &incarnation) {
        hooks_.logEvent_("endpoint_limit_ended", {{"endpoint", incarnation}});
    };
    return hooks;
}

OutlierDetectorHooks Gateway::Private::outlierDetectorHooks()
{
    OutlierDetectorHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.isChosen_ = [this](const std::string &key, std::size_t count) { return fleet_.isChosen(key, count); };
    hooks.nodes_ = [this] { return fleet_.alive() + 1; };
    hooks.endpoints_ = [this](const std::string &service) { return directory_.ready(service).size(); };
    hooks.serviceOf_ = [this](const std::string &incarnation) {
        const Endpoint *endpoint = directory_.findIncarnation(incarnation);
        return endpoint != nullptr ? endpoint->service_ : std::string();
    };
    hooks.onEjected_ = [this](const EndpointOutcomes &outcomes) {
        hooks_.count_("endpoint_ejections_total", {});
        hooks_.logEvent_("endpoint_ejected",
                         {{"endpoint", outcomes.endpoint_},
                          {"by_peer", outcomes.requests_ == 0.0},
                          {"requests", outcomes.requests_},
                          {"failures", outcomes.failures_}});
    };
    hooks.onReadmitted_ = [this](const std::string &incarnation) {
        hooks_.logEvent_("endpoint_readmitted", {{"endpoint", incarnation}});
    };
    return hooks;
}

StreamOriginsHooks Gateway::Private::streamOriginsHooks()
{
    StreamOriginsHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.after_ = hooks_.after_;
    hooks.nodesFor_ = [this](const std::string &key, std::size_t count) { return fleet_.ranked(key, count); };
    hooks.askPeer_ = hooks_.askPeer_;
    hooks.versionsOf_ = [this](const std::string &service, Duration window) {
        return directory_.versionsOf(service, window);
    };
    return hooks;
}

StreamOutputsHooks Gateway::Private::streamOutputsHooks()
{
    StreamOutputsHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.nodesFor_ = [this](const std::string &key, std::size_t count) { return fleet_.ranked(key, count); };
    hooks.askPeer_ = hooks_.askPeer_;
    return hooks;
}

ReachabilityHooks Gateway::Private::reachabilityHooks()
{
    ReachabilityHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.random_ = hooks_.random_;
    hooks.endpoints_ = [this] { return directory_.allReady(); };
    hooks.probe_ = hooks_.probeEndpoint_;
    hooks.onChanged_ = [this](bool isCutOff) {
        hooks_.logEvent_(isCutOff ? "endpoints_unreachable" : "endpoints_reachable",
                         {{"endpoints", directory_.allReady().size()}, {"open_calls", calls_.size()}});
    };
    return hooks;
}

ConfigurationPeersHooks Gateway::Private::configurationPeersHooks()
{
    ConfigurationPeersHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.askPeer_ = hooks_.askPeer_;
    hooks.version_ = [this] { return routing_ ? routing_->version() : 0; };
    hooks.apply_ = [this](const std::string &text) {
        if (hooks_.applyConfiguration_) {
            hooks_.applyConfiguration_(text);
        }
    };
    hooks.logEvent_ = hooks_.logEvent_;
    return hooks;
}

void Gateway::Private::checkSuspension()
{
    const Duration pause = hooks_.now_() - std::exchange(lastRunAt_, hooks_.now_());
    const bool hasAccounts = routing_ && routing_->accounts() != nullptr;
    if (pause <= settings_.maxSuspension_ || !hasAccounts || !hooks_.refreshConfiguration_) {
        return;
    }
    if (std::exchange(isConfigurationInDoubt_, true)) {
        return;
    }
    refreshConfiguration(pause);
}

void Gateway::Private::refreshConfiguration(Duration pause)
{
    hooks_.refreshConfiguration_([self = shared_from_this(), pause, began = hooks_.now_()](bool isCurrent) {
        if (!isCurrent && self->hooks_.now_() - began > self->settings_.maxSuspension_) {
            self->refreshConfiguration(pause); // The process was suspended again meanwhile.
            return;
        }
        self->hooks_.logEvent_("configuration_checked",
                               {{"pause_ms", toMilliseconds(pause)},
                                {"current", isCurrent},
                                {"version", self->routing_->version()},
                                {"requests", self->waitingForConfiguration_.size()}});
        self->isConfigurationInDoubt_ = false;
        for (const std::function<void()> &task : std::exchange(self->waitingForConfiguration_, {})) {
            task();
        }
    });
}

void Gateway::Private::withConfiguration(const std::function<void()> &task)
{
    checkSuspension();
    if (isConfigurationInDoubt_) {
        waitingForConfiguration_.push_back(task);
    } else {
        task();
    }
}

void Gateway::Private::refreshRegistry(const std::function<void(bool isCurrent)> &done)
{
    if (hooks_.refreshRegistry_) {
        hooks_.refreshRegistry_(done);
    } else {
        done(true);
    }
}

void Gateway::Private::forwardWaiting()
{
    const std::vector<std::shared_ptr<internal::GatewayCall>> calls(calls_.begin(), calls_.end());
    for (const std::shared_ptr<internal::GatewayCall> &call : calls) {
        call->forwardIfWaiting();
    }
}

std::size_t Gateway::Private::silentEndpoints() const
{
    std::unordered_set<std::string> silent;
    for (const std::shared_ptr<internal::GatewayCall> &call : calls_) {
        if (call->unansweredFor() >= settings_.reachability_.silence_) {
            silent.insert(call->endpoint());
        }
    }
    return silent.size();
}

void Gateway::Private::recordCrash(const std::string &incarnation, const std::vector<RequestFingerprints> &requests)
{
    std::vector<CrashRecord> records;
    const auto suspect = [this, &records, &incarnation](const std::string &fingerprint) {
        const CrashRecord record{fingerprint, incarnation, false};
        if (quarantine_.add(record)) {
            records.push_back(record);
        }
    };
    for (const RequestFingerprints &request : requests) {
        suspect(request.content_);
        // Other requests share a target that is answered, so it is not the cause.
        if (!answeredTargets_.contains(request.target_)) {
            suspect(request.target_);
        }
    }
    if (!records.empty()) {
        crashStream_.append(records);
    }
}

void Gateway::Private::discoverCaches()
{
    if (!routing_) {
        return;
    }
    for (const std::pair<const std::string, Service> &entry : routing_->services()) {
        if (entry.second.engine_) {
            cacheDiscovery_.query(directory_.ready(entry.first));
        }
    }
}

MissedGrantDetectorHooks Gateway::Private::missedGrantHooks()
{
    MissedGrantDetectorHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.isComplete_ = [this] { return ledger_.isComplete(); };
    hooks.hasRecords_ = [this] { return ledger_.hasRecords(); };
    hooks.isRecorded_ = [this] { return ledger_.isCurrent() && fleet_.allGrantsRecorded(); };
    hooks.alive_ = [this] { return fleet_.alive(); };
    hooks.lostSince_ = [this](Time since) { return fleet_.lostSince(since); };
    hooks.missingSince_ = [this](Time since) { return fleet_.missingSince(since); };
    hooks.hasInformedPeer_ = [this] { return fleet_.hasPeerWithAllGrants(); };
    return hooks;
}

BudgetControllerHooks Gateway::Private::budgetHooks()
{
    BudgetControllerHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.askPeer_ = hooks_.askPeer_;
    hooks.logEvent_ = hooks_.logEvent_;
    hooks.count_ = hooks_.count_;
    BudgetNodes &nodes = hooks.nodes_;
    nodes.findAlive_ = [this](const std::string &name) { return fleet_.findAlive(name); };
    nodes.withCurrentLedger_ = [this](const std::string &program) { return fleet_.nodeWithCurrentLedger(program); };
    nodes.coordinatorOf_ = [this](const std::string &program) { return fleet_.coordinatorOf(program); };
    nodes.backupCoordinatorOf_ = [this](const std::string &program) { return fleet_.backupCoordinatorOf(program); };
    nodes.successorsOf_ = [this](const std::string &program, std::size_t count) {
        return fleet_.successorsOf(program, count);
    };
    nodes.hasCoordinated_ = [this](const std::string &program, Duration window) {
        return fleet_.hasCoordinated(program, window);
    };
    nodes.isSelf_ = [this](const FleetMember &member) { return fleet_.isSelf(member); };
    nodes.mayMissGrants_ = [this] {
        missedGrants_.update();
        return missedGrants_.mayMissGrants();
    };
    nodes.maySpendReserves_ = [this] { return missedGrants_.maySpendReserves(); };
    nodes.copies_ = [this] { return missedGrants_.copies(); };
    return hooks;
}

FleetHooks Gateway::Private::fleetHooks()
{
    FleetHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.after_ = hooks_.after_;
    hooks.store_ = hooks_.store_;
    hooks.sendDatagram_ = hooks_.sendDatagram_;
    hooks.report_ = [this] {
        NodeReport report;
        report.ledger_ = LedgerState{ledger_.isCurrent(), ledger_.knowsGrants()};
        report.load_ = placement_.localLoad();
        report.cachedParts_ = placement_.takeCachedParts();
        report.paces_ = pace_.localPaces();
        report.crashes_ = quarantine_.takeAnnouncements();
        report.limits_ = limits_.takeAnnouncements();
        report.outcomes_ = outliers_.localOutcomes();
        report.ejections_ = outliers_.takeAnnouncements();
        report.origins_ = origins_.takeAnnouncements();
        report.mayMissGrants_ = missedGrants_.mayMissGrants();
        report.reachesEndpoints_ = !reachability_.isCutOff() && !stopping_;
        report.configurationVersion_ = configurationPeers_.offeredVersion();
        if (routing_ && routing_->accounts() != nullptr) {
            report.accounts_ = accountAdmission_.localLoad();
        }
        return report;
    };

    hooks.ledgerComplete_ = [this] { return ledger_.knowsGrants(); };
    hooks.onReport_ = [this](const std::string &source, const NodeReport &report) {
        // Peers may still have requests at endpoints that this node has already removed.
        std::vector<std::pair<std::string, std::uint32_t>> load;
        std::copy_if(
            report.load_.begin(),
            report.load_.end(),
            std::back_inserter(load),
            [this](const std::pair<std::string, std::uint32_t> &at) { return directory_.find(at.first) != nullptr; });
        placement_.setPeerLoad(source, load, report.nodes_);
        pace_.setPeerPaces(source, report.paces_);
        if (report.accounts_) {
            accountAdmission_.setPeerLoad(source, *report.accounts_);
        }
        for (const CrashRecord &crash : report.crashes_) {
            quarantine_.add(crash);
        }
        for (const RateLimitNotice &limit : report.limits_) {
            limits_.merge(limit);
        }
        outliers_.setPeerOutcomes(source, report.outcomes_);
        for (const EjectionNotice &ejection : report.ejections_) {
            outliers_.merge(ejection);
        }
        for (const StreamOriginNotice &origin : report.origins_) {
            origins_.add(origin);
        }
        for (const CachedPart &part : report.cachedParts_) {
            if (directory_.find(part.endpoint_) != nullptr) {
                placement_.addCachedPart(part);
            }
        }
    };
    hooks.onConfigurationOffered_ = [this](const FleetMember &node, std::uint64_t version) {
        configurationPeers_.reported(node, version);
    };
    hooks.onLivenessChanged_ = [this](const std::string &node, bool alive) {
        hooks_.logEvent_(alive ? "peer_found" : "peer_lost", {{"peer", node}});
    };
    return hooks;
}

bool Gateway::Private::isTooLateForStop(Duration time) const
{
    const Time now = hooks_.now_();
    return stopping_ && now >= acceptsAnyUntil_ && now + time > stopEndsAt_;
}

bool Gateway::Private::isPartitioned() const
{
    if (hooks_.now_() - lastLedgerCurrent_ < internal::partitionTimeout) {
        return false;
    }
    // During an outage that affects all nodes, this one can serve as well as any other.
    return fleet_.alive() == 0 ? fleet_.known() > 0 : fleet_.nodeWithCurrentLedger({}).has_value();
}

bool Gateway::Private::isReady() const
{
    return !stopping_ && routing_ != nullptr && directory_.size() > 0 && ledger_.isComplete() && !isPartitioned();
}

bool Gateway::Private::isStoreUnavailable() const
{
    return !ledger_.isReachable() && !fleet_.nodeWithCurrentLedger({}).has_value();
}

void Gateway::Private::logEngineTimings()
{
    for (const std::string &service : placement_.engines().services()) {
        const EngineTimings timings = placement_.engines().timings(service);
        const ServiceLoad load = loadOf(service);
        hooks_.logEvent_("engine_figures",
                         {{"service", service},
                          {"step_ms", timings.stepMs_},
                          {"per_request_ms", timings.perRequestMs_},
                          {"read_token_ms", timings.prefillTokenMs_},
                          {"load", load.requestsPerSlot_},
                          {"stretch", load.slowdown_},
                          {"allowed", load.allowedSlowdown_.value_or(0.0)}});
    }
}

void Gateway::Private::logLedgerStateChange()
{
    const bool isCurrent = ledger_.isCurrent();
    if (isCurrent == ledgerWasCurrent_) {
        return;
    }
    ledgerWasCurrent_ = isCurrent;
    hooks_.logEvent_(isCurrent ? "ledger_current" : "ledger_outdated",
                     {{"reachable", ledger_.isReachable()},
                      {"complete", ledger_.isComplete()},
                      {"age_ms", toMilliseconds(ledger_.age())},
                      {"programs", ledger_.programCount()}});
}

void Gateway::Private::retireEndpoint(const std::string &incarnation, const char *reason)
{
    if (!incarnation.empty() && directory_.retire(incarnation)) {
        hooks_.logEvent_("endpoint_retired", {{"endpoint", incarnation}, {"reason", reason}});
    }
}

void Gateway::Private::checkIncarnation(const Endpoint &endpoint, const std::function<void(IncarnationCheck)> &done)
{
    if (!hooks_.askStart_) {
        done(IncarnationCheck::Unnamed);
        return;
    }
    hooks_.askStart_(endpoint, [self = shared_from_this(), endpoint, done](std::optional<std::uint64_t> startedAtMs) {
        IncarnationCheck check = IncarnationCheck::NoAnswer;
        if (startedAtMs && (*startedAtMs == 0 || endpoint.startedAtMs_ == 0)) {
            check = IncarnationCheck::Unnamed;
        } else if (startedAtMs) {
            check = *startedAtMs == endpoint.startedAtMs_ ? IncarnationCheck::Same : IncarnationCheck::Other;
        }
        self->incarnationChecked(endpoint, check);
        done(check);
    });
}

void Gateway::Private::incarnationChecked(const Endpoint &endpoint, IncarnationCheck check)
{
    const std::string incarnation = endpoint.incarnation();
    hooks_.count_("incarnation_checks_total", std::string(nameOf(check)));
    if (check != IncarnationCheck::Same) {
        hooks_.logEvent_("incarnation_checked", {{"endpoint", incarnation}, {"result", nameOf(check)}});
    }
    if (check == IncarnationCheck::Same) {
        directory_.trust(incarnation);
    } else if (check == IncarnationCheck::Other) {
        origins_.endpointReplaced(incarnation, hooks_.now_());
        crashDetector_.endpointEnded(incarnation, CrashEvidence::Replaced);
        retireEndpoint(incarnation, "replaced");
    }
}

void Gateway::Private::limitBufferedBytes()
{
    if (bufferedBytes_ <= settings_.maxBufferedBytes_) {
        return;
    }
    std::shared_ptr<internal::GatewayCall> longest;
    for (const std::shared_ptr<internal::GatewayCall> &call : calls_) {
        if (call->isReceiving() && (!longest || call->bufferedBytes() > longest->bufferedBytes())) {
            longest = call;
        }
    }
    if (longest) {
        longest->cutAnswer();
    }
}

void Gateway::Private::maintainCrashes()
{
    crashDetector_.expire();
    const std::vector<CrashRecord> expired = quarantine_.expire();
    const bool isHolder = !fleet_.holderOf(internal::crashState).has_value();
    if (!expired.empty() && isHolder) {
        crashStream_.remove(expired);
    }
    if (crashStream_.isReachable()) {
        const std::vector<CrashRecord> unstored = quarantine_.takeUnstored();
        if (!unstored.empty()) {
            crashStream_.append(unstored);
        }
    }
}

void Gateway::Private::updateMissedGrants()
{
    missedGrants_.update();
    if (std::exchange(mayHaveMissedGrants_, missedGrants_.mayMissGrants()) != missedGrants_.mayMissGrants()) {
        hooks_.logEvent_(missedGrants_.mayMissGrants() ? "grants_may_be_missed" : "grants_known",
                         {{"peers_alive", fleet_.alive()}, {"copies", missedGrants_.copies()}});
    }
}

void Gateway::Private::runHousekeeping()
{
    checkSuspension();
    configurationPeers_.update();
    if (ledger_.isCurrent()) {
        lastLedgerCurrent_ = hooks_.now_();
    }
    logLedgerStateChange();
    updateMissedGrants();
    budget_.releaseReserves();
    if (!ledger_.isReachable()) {
        pace_.reset();
    }
    for (const std::string &gone : directory_.expire()) {
        hooks_.logEvent_("endpoint_gone", {{"endpoint", gone}, {"reason", "did_not_return"}});
        placement_.forget(gone);
    }
    placement_.expirePeers();
    updateAccountAdmission();
    limits_.expire();
    outliers_.update();
    reachability_.update(silentEndpoints());
    if (reachability_.isCutOff()) {
        forwardWaiting();
    }
    origins_.update();
    outputs_.expire();
    maintainCrashes();
    quota_.tick();
    discoverCaches();
    if (++housekeepingRuns_ % internal::housekeepingRunsPerLog == 0) {
        logEngineTimings();
    }
    hooks_.after_(internal::housekeepingInterval, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->runHousekeeping();
        }
    });
}

Gateway::Gateway(GatewayHooks hooks, GatewaySettings settings)
    : d_(std::make_shared<Private>(std::move(hooks), std::move(settings)))
{
}

Gateway::~Gateway()
{
    d_->stopped_ = true;
    d_->calls_.clear();
}

void Gateway::start()
{
    d_->ledger_.start();
    d_->crashStream_.start();
    d_->fleet_.start();
    d_->runHousekeeping();
}

void Gateway::setRouting(std::shared_ptr<const RoutingTable> table, const std::string &text)
{
    if (d_->routing_ && d_->routing_->version() >= table->version()) {
        return;
    }
    d_->hooks_.logEvent_("configuration_in_force",
                         {{"version", table->version()},
                          {"before", d_->routing_ ? d_->routing_->version() : 0},
                          {"routes", table->routes().size()},
                          {"accounts", table->accounts() != nullptr ? table->accounts()->accounts().size() : 0}});
    d_->configurationPeers_.setCurrent(table->version(), table->accounts() != nullptr ? text : std::string());
    d_->routing_ = std::move(table);
    d_->hasQuotas_ = internal::hasQuotas(d_->routing_->accounts());
}

void Gateway::updateEndpoint(const Endpoint &endpoint, Time writtenAfter)
{
    const Endpoint *known = d_->directory_.find(endpoint.id_);
    if (known != nullptr && known->startedAtMs_ != endpoint.startedAtMs_) {
        d_->placement_.forgetCache(endpoint.id_);
        d_->hooks_.logEvent_("endpoint_ended", {{"endpoint", endpoint.id_}, {"reason", "restarted"}});
        d_->crashDetector_.endpointEnded(known->incarnation(), CrashEvidence::Registry);
        if (known->version_ != endpoint.version_) {
            d_->origins_.endpointReplaced(known->incarnation(), writtenAfter);
        }
    }
    const Endpoint *predecessor = d_->directory_.findAt(endpoint.address_);
    if (predecessor != nullptr && predecessor->id_ != endpoint.id_
        && predecessor->startedAtMs_ < endpoint.startedAtMs_) {
        d_->hooks_.logEvent_("endpoint_ended",
                             {{"endpoint", predecessor->id_}, {"reason", "replaced"}, {"by", endpoint.id_}});
        d_->crashDetector_.endpointEnded(predecessor->incarnation(), CrashEvidence::Registry);
    }
    if (d_->directory_.update(endpoint, writtenAfter)) {
        d_->hooks_.logEvent_(endpoint.draining_ ? "endpoint_draining" : "endpoint_learned",
                             {{"endpoint", endpoint.id_},
                              {"service", endpoint.service_},
                              {"address", endpoint.address_},
                              {"version", endpoint.version_},
                              {"slots", endpoint.slots_}});
    }
}

void Gateway::removeEndpoint(const std::string &id)
{
    const Endpoint *known = d_->directory_.find(id);
    const std::string incarnation = known != nullptr ? known->incarnation() : std::string();
    d_->directory_.remove(id);
    if (d_->directory_.find(id) == nullptr) {
        d_->crashDetector_.endpointEnded(incarnation, CrashEvidence::Registry);
        d_->hooks_.logEvent_("endpoint_gone", {{"endpoint", id}, {"reason", "removed"}});
        d_->placement_.forget(id);
    }
}

void Gateway::endpointLeaves(const Endpoint &endpoint)
{
    d_->retireEndpoint(endpoint.incarnation(), "leaving");
}

void Gateway::setRegistryReachable(bool reachable)
{
    d_->directory_.setRegistryReachable(reachable);
}

void Gateway::registryReadAnew()
{
    d_->directory_.registryReadAnew();
}

void Gateway::onRequest(GatewayRequest request, std::shared_ptr<HttpReply> reply)
{
    const std::shared_ptr<internal::GatewayCall> call =
        std::make_shared<internal::GatewayCall>(d_, std::move(request), std::move(reply));
    d_->calls_.insert(call);
    d_->withConfiguration([call] { call->start(); });
}

bool Gateway::isReady() const
{
    return d_->isReady();
}

void Gateway::beginStop(Duration grace)
{
    d_->stopping_ = true;
    d_->stopEndsAt_ = d_->hooks_.now_() + grace;
    d_->acceptsAnyUntil_ = d_->hooks_.now_() + grace / internal::graceDivisor;
    d_->quota_.beginStop();
    d_->ledger_.releaseAllowances();
}

void Gateway::endCalls()
{
    const std::vector<std::shared_ptr<internal::GatewayCall>> calls(d_->calls_.begin(), d_->calls_.end());
    for (const std::shared_ptr<internal::GatewayCall> &call : calls) {
        call->endForStop();
    }
}

bool Gateway::isIdle() const
{
    return d_->calls_.empty() && d_->ledger_.isFlushed();
}

std::size_t Gateway::openCalls() const
{
    return d_->calls_.size();
}

void Gateway::onDatagram(const std::string &datagram)
{
    d_->fleet_.onDatagram(datagram);
}

void Gateway::onPeerRequest(const std::string &type,
                            const nlohmann::json &body,
                            const std::function<void(const nlohmann::json &)> &answer)
{
    if (!d_->budget_.onPeerRequest(type, body, answer) && !d_->relayedStore_.onPeerRequest(type, body, answer)
        && !d_->turns_.onPeerRequest(type, body, answer) && !d_->origins_.onPeerRequest(type, body, answer)
        && !d_->outputs_.onPeerRequest(type, body, answer) && !d_->configurationPeers_.onPeerRequest(type, body, answer)
        && !d_->quota_.onPeerRequest(type, body, answer)) {
        answer({});
    }
}

nlohmann::json Gateway::state() const
{
    const AccountDirectory *accounts = d_->routing_ ? d_->routing_->accounts() : nullptr;
    return {{"configuration_version", d_->routing_ ? d_->routing_->version() : 0},
            {"accounts", accounts != nullptr ? accounts->accounts().size() : 0},
            {"endpoints", d_->directory_.size()},
            {"open_calls", d_->calls_.size()},
            {"buffered_answer_bytes", d_->bufferedBytes_},
            {"peers_known", d_->fleet_.known()},
            {"peers_alive", d_->fleet_.alive()},
            {"programs", d_->ledger_.programCount()},
            {"ledger_current", d_->ledger_.isCurrent()},
            {"may_miss_grants", d_->missedGrants_.mayMissGrants()},
            {"cached_turn_bytes", d_->turns_.cachedBytes()},
            {"endpoints_placed", d_->placement_.endpoints()},
            {"engines", d_->placement_.engines().state()},
            {"stream_origins", d_->origins_.size()},
            {"stream_output_bytes", d_->outputs_.bytes()},
            {"ejected_endpoints", d_->outliers_.ejected()},
            {"suspected_requests", d_->quarantine_.requests()},
            {"quota_levels", d_->quota_.state()},
            {"stopping", d_->stopping_}};
}

} // namespace filbertgw

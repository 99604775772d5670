#include "placement/enginemodel.h"

#include "core/numbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {
namespace {

/** Sums of squares that the assumed slopes count for: samples that are a few requests apart, or a few prompts of 1,000
 * tokens. */
constexpr double perRequestPriorWeight = 200.0;
constexpr double prefillPriorWeight = 8e6;
/** Limits of an engine's time relative to its service. */
constexpr double maxSlowness = 20.0;
constexpr double minSlowness = 0.1;
constexpr double minStepMs = 0.01;
/** Faults and load only delay tokens. If most of the recent observations are faster than the fitted time by this ratio,
 * the engines have changed and older observations are dropped. */
constexpr double speedupRatio = 0.7;
constexpr double speedupShareLimit = 0.6;
constexpr double speedupShareWeight = 0.05;
/** Larger slowdowns are not distinguished. */
constexpr double maxSlowdown = 50.0;
/** Step time of the fastest engine relative to the fitted one. Engines are up to 1.2 times as fast as usual; the rest
 * is a margin for estimates of the answer's length that are too high. */
constexpr double fastestStepShare = 0.5;
/** Prefills of other requests delay output tokens but are not part of a step, so that the slower half is discarded. */
constexpr QuantileRange stepQuantiles{0.05, 0.5};
/** First events are late because of faults and, under load, of other prefills. Some are early, since the prompt was
 * cached without the node knowing it. */
constexpr QuantileRange firstEventQuantiles{0.15, 0.6};

/** \brief Stratum of a load, one for each doubling. */
std::size_t stratumOf(double others)
{
    return static_cast<std::size_t>(std::log2(1.0 + std::max(0.0, others)));
}

} // namespace
} // namespace internal

EngineModel::ServiceModel::ServiceModel(const EngineModelSettings &settings)
    : stepRegression_(settings.window_, settings.sampleLifetime_, internal::stepQuantiles)
    , firstEventRegression_(settings.window_, settings.sampleLifetime_, internal::firstEventQuantiles)
{
}

EngineModel::EngineModel(EngineModelSettings settings)
    : settings_(settings)
{
}

bool EngineModel::accept(std::uint64_t tokens, Duration time, Duration maxTime)
{
    RejectedObservation reason = RejectedObservation::NoTokens;
    if (tokens > 0) {
        const double msPerToken = toMilliseconds(time) / static_cast<double>(tokens);
        if (time > Duration{0} && msPerToken >= internal::minStepMs && msPerToken <= toMilliseconds(maxTime)) {
            return true;
        }
        reason = time > Duration{0} ? RejectedObservation::OutOfRange : RejectedObservation::NoTime;
    }
    ++rejected_[static_cast<std::size_t>(reason)];
    return false;
}

bool EngineModel::acceptPrompt(std::uint64_t uncached)
{
    if (uncached <= settings_.maxPromptTokens_) {
        return true;
    }
    ++rejected_[static_cast<std::size_t>(RejectedObservation::PromptTooLong)];
    return false;
}

void EngineModel::observeTokens(
    const std::string &service, const std::string &endpoint, double others, std::uint64_t tokens, Duration time)
{
    if (!accept(tokens, time, settings_.maxTokenTime_)) {
        return;
    }
    const double observed = toMilliseconds(time) / static_cast<double>(tokens);
    ServiceModel &model = modelOf(service);
    detectSpeedup(model, observed < internal::speedupRatio * model.timings_.stepMs(others));
    model.stepRegression_.add(internal::stratumOf(others), RegressionSample{others, 0.0, observed});
    countSample(model);
    const double expected = model.timings_.stepMs(others);
    const double ratio = std::clamp(observed / expected, internal::minSlowness, internal::maxSlowness);
    double &slowness = model.slowness_.try_emplace(endpoint, model.meanSlowness_).first->second;
    slowness += settings_.slownessWeight_ * (ratio - slowness);
}

void EngineModel::observeFirstEvent(const std::string &service, double others, std::uint64_t uncached, Duration time)
{
    if (!acceptPrompt(uncached) || !accept(1, time, settings_.maxFirstEventTime_)) {
        return;
    }
    ServiceModel &model = modelOf(service);
    model.firstEventRegression_.add(internal::stratumOf(others),
                                    RegressionSample{static_cast<double>(uncached), others, toMilliseconds(time)});
    countSample(model);
}

void EngineModel::observeSize(const std::string &service, std::uint64_t uncached, std::uint64_t tokens)
{
    if (tokens == 0 || !acceptPrompt(uncached)) {
        return;
    }
    ServiceModel &model = modelOf(service);
    const double weight = model.meanOutputTokens_ == 0.0 ? 1.0 : settings_.sizeWeight_;
    model.meanUncachedTokens_ += weight * (static_cast<double>(uncached) - model.meanUncachedTokens_);
    model.meanOutputTokens_ += weight * (static_cast<double>(tokens) - model.meanOutputTokens_);
}

double EngineModel::slowdown(const std::string &service, double others) const
{
    const auto known = services_.find(service);
    if (known == services_.end() || known->second.meanOutputTokens_ == 0.0) {
        return 1.0;
    }
    const ServiceModel &model = known->second;
    const EngineTimings &timings = model.timings_;
    const double prefillMs = model.meanUncachedTokens_ * timings.prefillTokenMs_;
    const double idleMs = prefillMs + model.meanOutputTokens_ * timings.stepMs(0.0);
    // While a request runs, each of the others finishes once and is replaced by one that has to be prefilled.
    const double batchedMs = prefillMs * (1.0 + others) + model.meanOutputTokens_ * timings.stepMs(others);
    return std::clamp(batchedMs / idleMs, 1.0, internal::maxSlowdown);
}

EngineModel::ServiceModel &EngineModel::modelOf(const std::string &service)
{
    const auto known = services_.find(service);
    if (known != services_.end()) {
        return known->second;
    }
    ServiceModel model(settings_);
    model.timings_ = initialTimings();
    return services_.emplace(service, std::move(model)).first->second;
}

EngineTimings EngineModel::initialTimings() const
{
    return EngineTimings{settings_.initialStepMs_,
                         settings_.initialStepMs_ * settings_.initialPerRequestShare_,
                         settings_.initialStepMs_ / settings_.initialPrefillPerStep_};
}

void EngineModel::detectSpeedup(ServiceModel &model, bool isFaster) const
{
    model.speedupShare_ += internal::speedupShareWeight * ((isFaster ? 1.0 : 0.0) - model.speedupShare_);
    if (model.speedupShare_ > internal::speedupShareLimit) {
        model.stepRegression_.clear();
        model.firstEventRegression_.clear();
        model.speedupShare_ = 0.0;
    }
}

void EngineModel::countSample(ServiceModel &model) const
{
    // The first observations are fitted immediately.
    if (++model.samplesSinceFit_ >= settings_.refitInterval_ || ++model.totalSamples_ < settings_.refitInterval_) {
        model.samplesSinceFit_ = 0;
        refit(model);
    }
}

void EngineModel::refit(ServiceModel &model) const
{
    EngineTimings &timings = model.timings_;
    if (model.stepRegression_.size() > 0) {
        const SlopePrior prior{
            timings.stepMs_ * settings_.initialPerRequestShare_, internal::perRequestPriorWeight, 0.0, 0.0};
        const LinearFit stepFit = model.stepRegression_.fit(prior);
        timings.stepMs_ = std::max(internal::minStepMs, stepFit.intercept_);
        timings.perRequestMs_ = stepFit.slopeX_;
    }
    const SlopePrior prior{timings.stepMs_ / settings_.initialPrefillPerStep_,
                           internal::prefillPriorWeight,
                           0.0,
                           internal::perRequestPriorWeight};
    timings.prefillTokenMs_ = model.firstEventRegression_.fit(prior).slopeX_;
    double sum = 0.0;
    for (const std::pair<const std::string, double> &engine : model.slowness_) {
        sum += engine.second;
    }
    model.meanSlowness_ = model.slowness_.empty() ? 1.0 : sum / static_cast<double>(model.slowness_.size());
}

double EngineModel::meanSlowness(const std::string &service) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? 1.0 : known->second.meanSlowness_;
}

std::optional<double> EngineModel::slowness(const std::string &service, const std::string &endpoint) const
{
    const auto known = services_.find(service);
    if (known == services_.end()) {
        return std::nullopt;
    }
    const auto observed = known->second.slowness_.find(endpoint);
    return observed == known->second.slowness_.end() ? std::nullopt : std::make_optional(observed->second);
}

EngineTimings EngineModel::timings(const std::string &service, const std::string &endpoint) const
{
    const EngineTimings serviceTimings = timings(service);
    const double slowness = this->slowness(service, endpoint).value_or(meanSlowness(service));
    return EngineTimings{serviceTimings.stepMs_ * slowness,
                         serviceTimings.perRequestMs_ * slowness,
                         serviceTimings.prefillTokenMs_ * slowness};
}

EngineTimings EngineModel::timings(const std::string &service) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? initialTimings() : known->second.timings_;
}

std::vector<std::string> EngineModel::services() const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, ServiceModel> &entry : services_) {
        names.push_back(entry.first);
    }
    return names;
}

std::optional<Duration> EngineModel::minTurnTime(const std::string &service, std::uint64_t tokens) const
{
    const auto known = services_.find(service);
    if (known == services_.end() || known->second.stepRegression_.size() < settings_.refitInterval_) {
        return std::nullopt;
    }
    const double ms = static_cast<double>(tokens) * known->second.timings_.stepMs_ * internal::fastestStepShare;
    return fromSeconds(ms / 1e3);
}

void EngineModel::forget(const std::string &endpoint)
{
    for (std::pair<const std::string, ServiceModel> &entry : services_) {
        entry.second.slowness_.erase(endpoint);
    }
}

std::uint64_t EngineModel::rejected(RejectedObservation reason) const
{
    return rejected_[static_cast<std::size_t>(reason)];
}

nlohmann::json EngineModel::state() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const std::pair<const std::string, ServiceModel> &entry : services_) {
        const EngineTimings &timings = entry.second.timings_;
        services[entry.first] = {{"step_ms", timings.stepMs_},
                                 {"per_request_ms", timings.perRequestMs_},
                                 {"read_token_ms", timings.prefillTokenMs_},
                                 {"unread_tokens", entry.second.meanUncachedTokens_},
                                 {"generated_tokens", entry.second.meanOutputTokens_},
                                 {"slowness", entry.second.slowness_},
                                 {"step_samples", entry.second.stepRegression_.size()},
                                 {"read_samples", entry.second.firstEventRegression_.size()}};
    }
    nlohmann::json rejected = nlohmann::json::object();
    for (const std::pair<RejectedObservation, std::string_view> &entry : NameTable<RejectedObservation>::entries) {
        rejected[std::string(entry.second)] = this->rejected(entry.first);
    }
    return {{"services", services}, {"rejected", rejected}};
}

} // namespace filbertgw

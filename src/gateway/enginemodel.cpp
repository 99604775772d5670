#include "gateway/enginemodel.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace filbertgw {

namespace internal {
namespace {

/** Sum of squares that an assumed slope counts for: a few requests apart, and a few prompts of 1,000 tokens. */
constexpr double requestsWeight = 200.0;
constexpr double promptsWeight = 8e6;
/** An engine is taken to be at most this much slower or faster than its service. */
constexpr double mostSlowness = 20.0;
constexpr double leastSlowness = 0.1;
constexpr double leastStepMs = 0.01;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace
} // namespace internal

EngineModel::ServiceModel::ServiceModel(const EngineModelSettings &settings)
    : steps_(settings.window_)
    , reads_(settings.window_)
{
}

EngineModel::EngineModel(EngineModelSettings settings)
    : settings_(settings)
{
}

bool EngineModel::accept(std::uint64_t tokens, Duration time, Duration longest)
{
    RejectedObservation reason = RejectedObservation::NoTokens;
    if (tokens > 0) {
        const double each = internal::milliseconds(time) / static_cast<double>(tokens);
        if (time > Duration{0} && each >= internal::leastStepMs && each <= internal::milliseconds(longest)) {
            return true;
        }
        reason = time > Duration{0} ? RejectedObservation::Absurd : RejectedObservation::NoTime;
    }
    ++rejected_[static_cast<std::size_t>(reason)];
    return false;
}

void EngineModel::observeTokens(
    const std::string &service, const std::string &endpoint, double others, std::uint64_t tokens, Duration time)
{
    if (!accept(tokens, time, settings_.longestToken_)) {
        return;
    }
    const double observed = internal::milliseconds(time) / static_cast<double>(tokens);
    ServiceModel &model = modelOf(service);
    model.steps_.add(RegressionSample{others, 0.0, observed});
    noteSample(model);
    const double expected = model.figures_.stepMs(others);
    const double ratio = std::clamp(observed / expected, internal::leastSlowness, internal::mostSlowness);
    double &slowness = model.slowness_.try_emplace(endpoint, model.usualSlowness_).first->second;
    slowness += settings_.newWeight_ * (ratio - slowness);
}

void EngineModel::observeFirstEvent(const std::string &service, double others, std::uint64_t unread, Duration time)
{
    if (!accept(1, time, settings_.longestRead_)) {
        return;
    }
    ServiceModel &model = modelOf(service);
    model.reads_.add(RegressionSample{static_cast<double>(unread), others, internal::milliseconds(time)});
    noteSample(model);
}

EngineModel::ServiceModel &EngineModel::modelOf(const std::string &service)
{
    const auto known = services_.find(service);
    if (known != services_.end()) {
        return known->second;
    }
    ServiceModel model(settings_);
    model.figures_ = assumed();
    return services_.emplace(service, std::move(model)).first->second;
}

EngineFigures EngineModel::assumed() const
{
    return EngineFigures{settings_.assumedStepMs_,
                         settings_.assumedStepMs_ * settings_.assumedPerRequest_,
                         settings_.assumedStepMs_ / settings_.assumedReadPerStep_};
}

void EngineModel::noteSample(ServiceModel &model) const
{
    // The first observations count at once.
    if (++model.sinceFit_ >= settings_.refitAfter_
        || model.steps_.size() + model.reads_.size() < settings_.refitAfter_) {
        model.sinceFit_ = 0;
        refit(model);
    }
}

void EngineModel::refit(ServiceModel &model) const
{
    EngineFigures &figures = model.figures_;
    if (model.steps_.size() > 0) {
        const SlopePrior prior{figures.stepMs_ * settings_.assumedPerRequest_, internal::requestsWeight, 0.0, 0.0};
        const LinearFit steps = model.steps_.fit(prior);
        figures.stepMs_ = std::max(internal::leastStepMs, steps.intercept_);
        figures.perRequestMs_ = steps.perX_;
    }
    const SlopePrior prior{
        figures.stepMs_ / settings_.assumedReadPerStep_, internal::promptsWeight, 0.0, internal::requestsWeight};
    figures.readTokenMs_ = model.reads_.fit(prior).perX_;
    double sum = 0.0;
    for (const std::pair<const std::string, double> &engine : model.slowness_) {
        sum += engine.second;
    }
    model.usualSlowness_ = model.slowness_.empty() ? 1.0 : sum / static_cast<double>(model.slowness_.size());
}

EngineFigures EngineModel::figures(const std::string &service, const std::string &endpoint) const
{
    const auto known = services_.find(service);
    if (known == services_.end()) {
        return assumed();
    }
    const ServiceModel &model = known->second;
    const auto observed = model.slowness_.find(endpoint);
    const double slowness = observed == model.slowness_.end() ? model.usualSlowness_ : observed->second;
    return EngineFigures{model.figures_.stepMs_ * slowness,
                         model.figures_.perRequestMs_ * slowness,
                         model.figures_.readTokenMs_ * slowness};
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
        const EngineFigures &figures = entry.second.figures_;
        services[entry.first] = {{"step_ms", figures.stepMs_},
                                 {"per_request_ms", figures.perRequestMs_},
                                 {"read_token_ms", figures.readTokenMs_},
                                 {"slowness", entry.second.slowness_},
                                 {"step_samples", entry.second.steps_.size()},
                                 {"read_samples", entry.second.reads_.size()}};
    }
    nlohmann::json rejected = nlohmann::json::object();
    for (const std::pair<RejectedObservation, std::string_view> &entry : NameTable<RejectedObservation>::entries) {
        rejected[std::string(entry.second)] = this->rejected(entry.first);
    }
    return {{"services", services}, {"rejected", rejected}};
}

} // namespace filbertgw

#include "gateway/enginemodel.h"

#include "core/numbers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

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
/** Faults and load only delay tokens: if most of the newest are this much faster, what was observed before is void. */
constexpr double fasterPart = 0.7;
constexpr double fasterShare = 0.6;
constexpr double fasterWeight = 0.05;
/** Beyond this it makes no difference. */
constexpr double mostStretch = 50.0;
/** Tokens are delayed while the prompts of others are read, which is not part of a step. */
constexpr KeptSamples keptSteps{0.05, 0.5};
/** First events are delayed by faults and, under load, by the prompts of others; some prompts were cached although it
 * was not known. */
constexpr KeptSamples keptReads{0.15, 0.6};

/** Stratum of a load: one for each doubling. */
std::size_t stratumOf(double others)
{
    return static_cast<std::size_t>(std::log2(1.0 + std::max(0.0, others)));
}

} // namespace
} // namespace internal

EngineModel::ServiceModel::ServiceModel(const EngineModelSettings &settings)
    : steps_(settings.window_, settings.lifetime_, internal::keptSteps)
    , reads_(settings.window_, settings.lifetime_, internal::keptReads)
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
        const double each = toMilliseconds(time) / static_cast<double>(tokens);
        if (time > Duration{0} && each >= internal::leastStepMs && each <= toMilliseconds(longest)) {
            return true;
        }
        reason = time > Duration{0} ? RejectedObservation::Absurd : RejectedObservation::NoTime;
    }
    ++rejected_[static_cast<std::size_t>(reason)];
    return false;
}

bool EngineModel::acceptPrompt(std::uint64_t unread)
{
    if (unread <= settings_.longestPrompt_) {
        return true;
    }
    ++rejected_[static_cast<std::size_t>(RejectedObservation::AbsurdPrompt)];
    return false;
}

void EngineModel::observeTokens(
    const std::string &service, const std::string &endpoint, double others, std::uint64_t tokens, Duration time)
{
    if (!accept(tokens, time, settings_.longestToken_)) {
        return;
    }
    const double observed = toMilliseconds(time) / static_cast<double>(tokens);
    ServiceModel &model = modelOf(service);
    noteFaster(model, observed < internal::fasterPart * model.figures_.stepMs(others));
    model.steps_.add(internal::stratumOf(others), RegressionSample{others, 0.0, observed});
    noteSample(model);
    const double expected = model.figures_.stepMs(others);
    const double ratio = std::clamp(observed / expected, internal::leastSlowness, internal::mostSlowness);
    double &slowness = model.slowness_.try_emplace(endpoint, model.usualSlowness_).first->second;
    slowness += settings_.newWeight_ * (ratio - slowness);
}

void EngineModel::observeFirstEvent(const std::string &service, double others, std::uint64_t unread, Duration time)
{
    if (!acceptPrompt(unread) || !accept(1, time, settings_.longestRead_)) {
        return;
    }
    ServiceModel &model = modelOf(service);
    model.reads_.add(internal::stratumOf(others),
                     RegressionSample{static_cast<double>(unread), others, toMilliseconds(time)});
    noteSample(model);
}

void EngineModel::observeSize(const std::string &service, std::uint64_t unread, std::uint64_t tokens)
{
    if (tokens == 0 || !acceptPrompt(unread)) {
        return;
    }
    ServiceModel &model = modelOf(service);
    const double weight = model.tokens_ == 0.0 ? 1.0 : settings_.sizeWeight_;
    model.unread_ += weight * (static_cast<double>(unread) - model.unread_);
    model.tokens_ += weight * (static_cast<double>(tokens) - model.tokens_);
}

double EngineModel::stretch(const std::string &service, double others) const
{
    const auto known = services_.find(service);
    if (known == services_.end() || known->second.tokens_ == 0.0) {
        return 1.0;
    }
    const ServiceModel &model = known->second;
    const EngineFigures &figures = model.figures_;
    const double read = model.unread_ * figures.readTokenMs_;
    const double alone = read + model.tokens_ * figures.stepMs(0.0);
    // While a request runs, each other one ends once and the one that follows it is read.
    const double beside = read * (1.0 + others) + model.tokens_ * figures.stepMs(others);
    return std::clamp(beside / alone, 1.0, internal::mostStretch);
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

void EngineModel::noteFaster(ServiceModel &model, bool isFaster) const
{
    model.faster_ += internal::fasterWeight * ((isFaster ? 1.0 : 0.0) - model.faster_);
    if (model.faster_ > internal::fasterShare) {
        model.steps_.clear();
        model.reads_.clear();
        model.faster_ = 0.0;
    }
}

void EngineModel::noteSample(ServiceModel &model) const
{
    // The first observations count at once.
    if (++model.sinceFit_ >= settings_.refitAfter_ || ++model.samples_ < settings_.refitAfter_) {
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

double EngineModel::usualSlowness(const std::string &service) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? 1.0 : known->second.usualSlowness_;
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

EngineFigures EngineModel::figures(const std::string &service, const std::string &endpoint) const
{
    const EngineFigures usual = figures(service);
    const double slowness = this->slowness(service, endpoint).value_or(usualSlowness(service));
    return EngineFigures{usual.stepMs_ * slowness, usual.perRequestMs_ * slowness, usual.readTokenMs_ * slowness};
}

EngineFigures EngineModel::figures(const std::string &service) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? assumed() : known->second.figures_;
}

std::vector<std::string> EngineModel::services() const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, ServiceModel> &entry : services_) {
        names.push_back(entry.first);
    }
    return names;
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
                                 {"unread_tokens", entry.second.unread_},
                                 {"generated_tokens", entry.second.tokens_},
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

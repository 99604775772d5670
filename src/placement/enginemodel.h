#ifndef FILBERTGW_PLACEMENT_ENGINEMODEL_H
#define FILBERTGW_PLACEMENT_ENGINEMODEL_H

#include "core/nametable.h"
#include "core/time.h"
#include "placement/trimmedregression.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief Decode and prefill times of an engine. */
struct EngineTimings
{
    double stepMs_ = 0.0; ///< Time per output token of a single request.
    double perRequestMs_ = 0.0; ///< Added to it by each further request in the batch.
    double prefillTokenMs_ = 0.0; ///< Prefill time per prompt token.

    /** \brief Time per output token in a batch with this many other requests. */
    double stepMs(double others) const
    {
        return stepMs_ + perRequestMs_ * others;
    }
};

/** \brief Why an observation was ignored. */
enum class RejectedObservation : std::uint8_t {
    NoTokens, ///< No tokens were generated.
    NoTime, ///< The time is 0 or negative, for example after a clock step.
    OutOfRange, ///< The time per token is implausibly long or short.
    PromptTooLong, ///< The prompt exceeds what any engine can hold.
};

template<>
struct NameTable<RejectedObservation>
{
    static constexpr std::array<std::pair<RejectedObservation, std::string_view>, 4> entries{{
        {RejectedObservation::NoTokens, "no_tokens"},
        {RejectedObservation::NoTime, "no_time"},
        {RejectedObservation::OutOfRange, "absurd"},
        {RejectedObservation::PromptTooLong, "absurd_prompt"},
    }};
};

struct EngineModelSettings
{
    /** Time per output token assumed before the first observation; only ratios of costs matter then. */
    double initialStepMs_ = 4.0;
    /** Share of the step time that each further request is assumed to add. */
    double initialPerRequestShare_ = 0.01;
    /** Prompt tokens assumed to be prefilled in the time of one step. */
    double initialPrefillPerStep_ = 256.0;
    std::size_t window_ = 96; ///< Observations kept for each doubling of the load.
    std::uint64_t sampleLifetime_ = 6'000; ///< Number of later observations after which one expires.
    std::size_t refitInterval_ = 32; ///< New observations after which the timings are fitted again.
    double slownessWeight_ = 0.2; ///< Weight of an observation in the slowness of its engine.
    double sizeWeight_ = 0.02; ///< Weight of a request in the mean request size.
    std::uint64_t maxPromptTokens_ = 20'000'000; ///< Observations with longer prompts are rejected.
    Duration maxTokenTime_{2'000'000}; ///< Longer times per token are rejected.
    Duration maxFirstEventTime_{10'000'000}; ///< Longer times to the first event are rejected.
};

/**
 * \brief Estimates the decode and prefill times of model engines from the observed times of their responses.
 *
 * The timings of a service are fitted to the newest observations of all its engines. In addition each engine has a
 * slowness, the ratio of its own times to those of the service, which adapts within a few observations.
 */
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);

    /** \brief Records the time between the first and the last of some output tokens, in a batch with others. */
    void observeTokens(
        const std::string &service, const std::string &endpoint, double others, std::uint64_t tokens, Duration time);
    /** \brief Records the time to the first event of a request with this many uncached prompt tokens. */
    void observeFirstEvent(const std::string &service, double others, std::uint64_t uncached, Duration time);

    /** \brief Records the uncached prompt tokens and the output tokens of a finished request. */
    void observeSize(const std::string &service, std::uint64_t uncached, std::uint64_t tokens);

    /** \brief Timings of one engine, with its slowness applied. */
    EngineTimings timings(const std::string &service, const std::string &endpoint) const;
    /** \brief Times of an engine relative to the timings of its service, if it was observed. */
    std::optional<double> slowness(const std::string &service, const std::string &endpoint) const;
    /** \brief Mean slowness of the engines of a service, assumed for engines without observations. */
    double meanSlowness(const std::string &service) const;
    /** \brief Timings fitted over all engines of a service. */
    EngineTimings timings(const std::string &service) const;
    /** \brief Services with observations. */
    std::vector<std::string> services() const;
    /** \brief Time of a request of mean size in a batch with others, divided by its time on an idle engine. */
    double slowdown(const std::string &service, double others) const;
    /**
     * \brief Least time in which an engine can generate this many tokens, by the learned timings.
     *
     * It assumes an idle engine of twice the usual speed with the whole prompt in its cache.
     * \return nothing until enough was observed.
     */
    std::optional<Duration> minTurnTime(const std::string &service, std::uint64_t tokens) const;
    void forget(const std::string &endpoint);
    std::uint64_t rejected(RejectedObservation reason) const;
    nlohmann::json state() const;

private:
    struct ServiceModel
    {
        explicit ServiceModel(const EngineModelSettings &settings);

        TrimmedRegression stepRegression_; ///< Milliseconds per output token, by number of other requests.
        /** Milliseconds to the first event, by uncached tokens and number of other requests. */
        TrimmedRegression firstEventRegression_;
        std::size_t totalSamples_ = 0; ///< Since the first observation of the service.
        std::size_t samplesSinceFit_ = 0;
        double speedupShare_ = 0.0; ///< Moving average of the share of observations much faster than timings_.
        EngineTimings timings_;
        std::unordered_map<std::string, double> slowness_; ///< By endpoint.
        double meanUncachedTokens_ = 0.0; ///< Per request; 0 until observed.
        double meanOutputTokens_ = 0.0; ///< Per request; 0 until observed.
        double meanSlowness_ = 1.0; ///< Mean of slowness_ as of the last fit; 1 without observations.
    };

    bool accept(std::uint64_t tokens, Duration time, Duration maxTime);
    bool acceptPrompt(std::uint64_t uncached);
    ServiceModel &modelOf(const std::string &service);
    /** \brief Drops the observations if the engines have become faster since, for example because of another model. */
    void detectSpeedup(ServiceModel &model, bool isFaster) const;
    void countSample(ServiceModel &model) const;
    void refit(ServiceModel &model) const;
    EngineTimings initialTimings() const;

    EngineModelSettings settings_;
    std::map<std::string, ServiceModel> services_;
    std::array<std::uint64_t, NameTable<RejectedObservation>::entries.size()> rejected_{};
};

} // namespace filbertgw

#endif

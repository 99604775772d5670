#ifndef FILBERTGW_GATEWAY_ENGINEMODEL_H
#define FILBERTGW_GATEWAY_ENGINEMODEL_H

#include "core/nametable.h"
#include "core/time.h"
#include "gateway/trimmedregression.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief How fast one engine works. */
struct EngineTimings
{
    double stepMs_ = 0.0; ///< Time of an output token without other requests.
    double perRequestMs_ = 0.0; ///< What each further request adds to it.
    double prefillTokenMs_ = 0.0; ///< Time to read a prompt token.

    double stepMs(double others) const
    {
        return stepMs_ + perRequestMs_ * others;
    }
};

/** \brief Why an observation was passed over. */
enum class RejectedObservation : std::uint8_t {
    NoTokens, ///< It covers no token.
    NoTime, ///< The time is 0 or negative, as after a step of the clock.
    OutOfRange, ///< No engine is so slow, or so fast.
    PromptTooLong, ///< No engine holds such a prompt.
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
    /** Output token time before the first observation, in milliseconds; only ratios of costs matter then. */
    double initialStepMs_ = 4.0;
    /** Part of the step that each further request is assumed to add. */
    double initialPerRequestShare_ = 0.01;
    /** Prompt tokens that are assumed to be read in the time of an output token. */
    double initialPrefillPerStep_ = 256.0;
    std::size_t window_ = 96; ///< Newest observations that count, for each doubling of the load.
    std::uint64_t sampleLifetime_ = 6'000; ///< Later observations after which one doesn't count any more.
    std::size_t refitInterval_ = 32; ///< New observations after which the figures are worked out again.
    double slownessWeight_ = 0.2; ///< Weight of an observation in an engine's own slowness.
    double sizeWeight_ = 0.02; ///< Weight of a request in the size of an ordinary one.
    std::uint64_t maxPromptTokens_ = 20'000'000; ///< Tokens; a request that claims more teaches nothing.
    Duration maxTokenTime_{2'000'000}; ///< A token that takes longer is no measurement of the engine.
    Duration maxFirstEventTime_{10'000'000}; ///< The same for the time to the first event.
};

/**
 * \brief Learns from the answers of model engines how long a token takes and how fast prompts are read.
 *
 * The figures of a service are fitted to the newest observations of all its engines; each engine has a factor by which
 * it is slower, which follows within few observations.
 */
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);

    /** \brief Time between the first and the last of some output tokens, beside other requests. */
    void observeTokens(
        const std::string &service, const std::string &endpoint, double others, std::uint64_t tokens, Duration time);
    /** \brief Time to the first event of a request of which the engine had to read some prompt tokens. */
    void observeFirstEvent(const std::string &service, double others, std::uint64_t uncached, Duration time);

    /** \brief A request that has ended, by the prompt tokens that were read and the tokens generated for it. */
    void observeSize(const std::string &service, std::uint64_t uncached, std::uint64_t tokens);

    EngineTimings timings(const std::string &service, const std::string &endpoint) const;
    /** \brief How much slower an engine is than the figures of its service say, if it was observed. */
    std::optional<double> slowness(const std::string &service, const std::string &endpoint) const;
    /** \brief What an engine counts for that was not observed: the mean over those of its service. */
    double meanSlowness(const std::string &service) const;
    /** \brief Figures of an ordinary engine of a service. */
    EngineTimings timings(const std::string &service) const;
    /** \brief Services of which something was observed. */
    std::vector<std::string> services() const;
    /** \brief How much longer an ordinary request takes beside others than alone, while all of them read and generate.
     */
    double slowdown(const std::string &service, double others) const;
    void forget(const std::string &endpoint);
    std::uint64_t rejected(RejectedObservation reason) const;
    nlohmann::json state() const;

private:
    struct ServiceModel
    {
        explicit ServiceModel(const EngineModelSettings &settings);

        TrimmedRegression stepRegression_; ///< Milliseconds a token, by other requests.
        TrimmedRegression
            firstEventRegression_; ///< Milliseconds to the first event, by unread tokens and other requests.
        std::size_t totalSamples_ = 0; ///< Since the service is known.
        std::size_t samplesSinceFit_ = 0;
        double speedupShare_ = 0.0; ///< Share of the newest tokens that were much faster than the figures say.
        EngineTimings timings_;
        std::unordered_map<std::string, double> slowness_; ///< Of each engine that was observed.
        double meanUncachedTokens_ = 0.0; ///< Prompt tokens that an ordinary request has to read; 0 until observed.
        double meanOutputTokens_ = 0.0; ///< Tokens that it generates; 0 until observed.
        double meanSlowness_ = 1.0; ///< Mean of slowness_: what an engine counts for until it was observed.
    };

    bool accept(std::uint64_t tokens, Duration time, Duration longest);
    bool acceptPrompt(std::uint64_t uncached);
    ServiceModel &modelOf(const std::string &service);
    /** \brief Drops what was observed before all engines became faster, as with another model. */
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

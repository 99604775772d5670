#ifndef FILBERTGW_GATEWAY_TRIMMEDREGRESSION_H
#define FILBERTGW_GATEWAY_TRIMMEDREGRESSION_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace filbertgw {

/** \brief One observation of a quantity that depends on two others. */
struct RegressionSample
{
    double x_ = 0.0;
    double z_ = 0.0;
    double y_ = 0.0;
};

/** \brief Slopes that are assumed until samples say otherwise. */
struct SlopePrior
{
    double slopeX_ = 0.0;
    double weightX_ = 0.0; ///< Sum of squares of x that the assumption counts for.
    double slopeZ_ = 0.0;
    double weightZ_ = 0.0;
};

/** \brief Which samples a fit is made of, by the order of their error: y less what the fit says. */
struct QuantileRange
{
    double lower_ = 0.0; ///< Part of the samples that are too low.
    double upper_ = 1.0; ///< Part of the samples that are not too high.
};

/** \brief y = intercept + perX * x + perZ * z */
struct LinearFit
{
    double intercept_ = 0.0;
    double slopeX_ = 0.0;
    double slopeZ_ = 0.0;

    double at(double x, double z) const
    {
        return intercept_ + slopeX_ * x + slopeZ_ * z;
    }
};

/**
 * \brief Least squares over the newest samples of several strata, without those that fit worst.
 *
 * Each stratum keeps samples of its own, so that a long time under one load doesn't drive out what was seen under
 * others. Samples outside the part that is kept may be arbitrarily wrong: delayed by a fault, or filed under a wrong x.
 */
class TrimmedRegression
{
public:
    /**
     * \param window samples that a stratum keeps.
     * \param lifetime later samples, of any stratum, after which a sample is dropped.
     */
    TrimmedRegression(std::size_t window, std::uint64_t lifetime, QuantileRange range);

    void add(std::size_t stratum, const RegressionSample &sample);
    void clear();
    /** \brief Samples that count. */
    std::size_t size() const;
    /** \brief The fit, with slopes of at least 0. */
    LinearFit fit(const SlopePrior &prior) const;

private:
    static LinearFit leastSquares(const std::vector<RegressionSample> &samples, const SlopePrior &prior);

    struct Entry
    {
        std::uint64_t sequence_ = 0;
        RegressionSample sample_;
    };

    std::vector<RegressionSample> currentSamples() const;

    std::size_t window_;
    std::uint64_t lifetime_;
    QuantileRange range_;
    std::uint64_t added_ = 0;
    std::vector<std::deque<Entry>> strata_;
};

} // namespace filbertgw

#endif

#ifndef FILBERTGW_PLACEMENT_TRIMMEDREGRESSION_H
#define FILBERTGW_PLACEMENT_TRIMMEDREGRESSION_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace filbertgw {

/** \brief An observation of y, which depends on x and z. */
struct RegressionSample
{
    double x_ = 0.0;
    double z_ = 0.0;
    double y_ = 0.0;
};

/** \brief Prior slopes, which dominate while there are few samples. */
struct SlopePrior
{
    double slopeX_ = 0.0;
    double weightX_ = 0.0; ///< Weight of the prior slope, as a sum of squares of x.
    double slopeZ_ = 0.0;
    double weightZ_ = 0.0;
};

/** \brief Range of the samples used for a fit, as quantiles of their residuals (observed less fitted y). */
struct QuantileRange
{
    double lower_ = 0.0;
    double upper_ = 1.0;
};

/** \brief y = intercept + slopeX * x + slopeZ * z */
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
 * \brief Trimmed least squares over the newest samples of several strata.
 *
 * Each stratum has its own window, so that many samples at one load do not displace those at other loads. Samples
 * outside the quantile range have no influence, however wrong they are: delayed by a fault, or recorded with a wrong x.
 */
class TrimmedRegression
{
public:
    /**
     * \param window number of samples kept per stratum.
     * \param lifetime number of later samples, of any stratum, after which a sample expires.
     */
    TrimmedRegression(std::size_t window, std::uint64_t lifetime, QuantileRange range);

    void add(std::size_t stratum, const RegressionSample &sample);
    void clear();
    /** \brief Number of samples that have not expired. */
    std::size_t size() const;
    /** \brief The fit, with slopes of at least 0; the prior slopes if there are no samples. */
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

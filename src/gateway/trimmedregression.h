#ifndef FILBERTGW_GATEWAY_TRIMMEDREGRESSION_H
#define FILBERTGW_GATEWAY_TRIMMEDREGRESSION_H

#include <cstddef>
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
    double perX_ = 0.0;
    double weightX_ = 0.0; ///< Sum of squares of x that the assumption counts for.
    double perZ_ = 0.0;
    double weightZ_ = 0.0;
};

/** \brief y = intercept + perX * x + perZ * z */
struct LinearFit
{
    double intercept_ = 0.0;
    double perX_ = 0.0;
    double perZ_ = 0.0;

    double at(double x, double z) const
    {
        return intercept_ + perX_ * x + perZ_ * z;
    }
};

/**
 * \brief Least squares over the newest samples, without those that fit worst.
 *
 * A quarter of the samples may be arbitrarily wrong: delayed by a fault, or filed under a wrong x.
 */
class TrimmedRegression
{
public:
    explicit TrimmedRegression(std::size_t window);

    void add(const RegressionSample &sample);
    std::size_t size() const;
    /** \brief The fit, with slopes of at least 0. */
    LinearFit fit(const SlopePrior &prior) const;

private:
    static LinearFit fitAll(const std::vector<RegressionSample> &samples, std::size_t count, const SlopePrior &prior);

    std::size_t window_;
    std::size_t next_ = 0; ///< Index of the sample that is replaced next.
    std::vector<RegressionSample> samples_;
};

} // namespace filbertgw

#endif

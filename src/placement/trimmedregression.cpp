#include "placement/trimmedregression.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t trimIterations = 4;
/** Relative size of the determinant up to which x and z are treated as collinear. */
constexpr double collinearityTolerance = 1e-6;

/** \brief Means, and sums of squares and products of the deviations from them. */
struct Moments
{
    double meanX_ = 0.0;
    double meanZ_ = 0.0;
    double meanY_ = 0.0;
    double xx_ = 0.0;
    double zz_ = 0.0;
    double xz_ = 0.0;
    double xy_ = 0.0;
    double zy_ = 0.0;
};

Moments momentsOf(const std::vector<RegressionSample> &samples)
{
    Moments moments;
    const auto count = static_cast<double>(samples.size());
    for (const RegressionSample &sample : samples) {
        moments.meanX_ += sample.x_ / count;
        moments.meanZ_ += sample.z_ / count;
        moments.meanY_ += sample.y_ / count;
    }
    for (const RegressionSample &sample : samples) {
        const double x = sample.x_ - moments.meanX_;
        const double z = sample.z_ - moments.meanZ_;
        const double y = sample.y_ - moments.meanY_;
        moments.xx_ += x * x;
        moments.zz_ += z * z;
        moments.xz_ += x * z;
        moments.xy_ += x * y;
        moments.zy_ += z * y;
    }
    return moments;
}

double nonNegativeSlope(double product, double square)
{
    return square > 0.0 ? std::max(0.0, product / square) : 0.0;
}

} // namespace
} // namespace internal

TrimmedRegression::TrimmedRegression(std::size_t window, std::uint64_t lifetime, QuantileRange range)
    : window_(window)
    , lifetime_(lifetime)
    , range_(range)
{
}

void TrimmedRegression::add(std::size_t stratum, const RegressionSample &sample)
{
    if (strata_.size() <= stratum) {
        strata_.resize(stratum + 1);
    }
    std::deque<Entry> &entries = strata_[stratum];
    entries.push_back(Entry{++added_, sample});
    if (entries.size() > window_) {
        entries.pop_front();
    }
}

void TrimmedRegression::clear()
{
    strata_.clear();
}

std::vector<RegressionSample> TrimmedRegression::currentSamples() const
{
    std::vector<RegressionSample> samples;
    for (const std::deque<Entry> &entries : strata_) {
        for (const Entry &entry : entries) {
            if (entry.sequence_ + lifetime_ > added_) {
                samples.push_back(entry.sample_);
            }
        }
    }
    return samples;
}

std::size_t TrimmedRegression::size() const
{
    return currentSamples().size();
}

LinearFit TrimmedRegression::leastSquares(const std::vector<RegressionSample> &samples, const SlopePrior &prior)
{
    internal::Moments moments = internal::momentsOf(samples);
    moments.xx_ += prior.weightX_;
    moments.xy_ += prior.weightX_ * prior.slopeX_;
    moments.zz_ += prior.weightZ_;
    moments.zy_ += prior.weightZ_ * prior.slopeZ_;
    LinearFit fit;
    const double determinant = moments.xx_ * moments.zz_ - moments.xz_ * moments.xz_;
    if (determinant > internal::collinearityTolerance * moments.xx_ * moments.zz_) {
        fit.slopeX_ = (moments.xy_ * moments.zz_ - moments.zy_ * moments.xz_) / determinant;
        fit.slopeZ_ = (moments.zy_ * moments.xx_ - moments.xy_ * moments.xz_) / determinant;
    }
    // If x and z are collinear or one slope is negative, the whole effect is attributed to the other one.
    if (fit.slopeZ_ <= 0.0) {
        fit.slopeZ_ = 0.0;
        fit.slopeX_ = internal::nonNegativeSlope(moments.xy_, moments.xx_);
    } else if (fit.slopeX_ <= 0.0) {
        fit.slopeX_ = 0.0;
        fit.slopeZ_ = internal::nonNegativeSlope(moments.zy_, moments.zz_);
    }
    fit.intercept_ = moments.meanY_ - fit.slopeX_ * moments.meanX_ - fit.slopeZ_ * moments.meanZ_;
    return fit;
}

LinearFit TrimmedRegression::fit(const SlopePrior &prior) const
{
    std::vector<RegressionSample> sorted = currentSamples();
    if (sorted.empty()) {
        return LinearFit{0.0, prior.slopeX_, prior.slopeZ_};
    }
    const auto count = static_cast<double>(sorted.size());
    const auto lower = static_cast<std::ptrdiff_t>(range_.lower_ * count);
    const auto upper = std::max(lower + 1, static_cast<std::ptrdiff_t>(std::ceil(range_.upper_ * count)));
    LinearFit fit = leastSquares(sorted, prior);
    for (std::size_t iteration = 0; iteration < internal::trimIterations; ++iteration) {
        std::sort(sorted.begin(), sorted.end(), [&fit](const RegressionSample &a, const RegressionSample &b) {
            return a.y_ - fit.at(a.x_, a.z_) < b.y_ - fit.at(b.x_, b.z_);
        });
        fit = leastSquares(std::vector<RegressionSample>(sorted.begin() + lower, sorted.begin() + upper), prior);
    }
    return fit;
}

} // namespace filbertgw

#include "gateway/trimmedregression.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t trimRounds = 4;
/** Part of the samples that a fit is made of. */
constexpr double keptPart = 0.75;
/** Determinants below this part of their largest term count as 0: x and z move together. */
constexpr double collinear = 1e-6;

/** \brief Sums of squares and products around the means. */
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

Moments momentsOf(const std::vector<RegressionSample> &samples, std::size_t count)
{
    Moments moments;
    for (std::size_t i = 0; i < count; ++i) {
        moments.meanX_ += samples[i].x_ / static_cast<double>(count);
        moments.meanZ_ += samples[i].z_ / static_cast<double>(count);
        moments.meanY_ += samples[i].y_ / static_cast<double>(count);
    }
    for (std::size_t i = 0; i < count; ++i) {
        const double x = samples[i].x_ - moments.meanX_;
        const double z = samples[i].z_ - moments.meanZ_;
        const double y = samples[i].y_ - moments.meanY_;
        moments.xx_ += x * x;
        moments.zz_ += z * z;
        moments.xz_ += x * z;
        moments.xy_ += x * y;
        moments.zy_ += z * y;
    }
    return moments;
}

double slope(double product, double square)
{
    return square > 0.0 ? std::max(0.0, product / square) : 0.0;
}

} // namespace
} // namespace internal

TrimmedRegression::TrimmedRegression(std::size_t window)
    : window_(window)
{
}

void TrimmedRegression::add(const RegressionSample &sample)
{
    if (samples_.size() < window_) {
        samples_.push_back(sample);
        return;
    }
    samples_[next_] = sample;
    next_ = (next_ + 1) % window_;
}

std::size_t TrimmedRegression::size() const
{
    return samples_.size();
}

LinearFit
TrimmedRegression::fitAll(const std::vector<RegressionSample> &samples, std::size_t count, const SlopePrior &prior)
{
    internal::Moments moments = internal::momentsOf(samples, count);
    moments.xx_ += prior.weightX_;
    moments.xy_ += prior.weightX_ * prior.perX_;
    moments.zz_ += prior.weightZ_;
    moments.zy_ += prior.weightZ_ * prior.perZ_;
    LinearFit fit;
    const double determinant = moments.xx_ * moments.zz_ - moments.xz_ * moments.xz_;
    if (determinant > internal::collinear * moments.xx_ * moments.zz_) {
        fit.perX_ = (moments.xy_ * moments.zz_ - moments.zy_ * moments.xz_) / determinant;
        fit.perZ_ = (moments.zy_ * moments.xx_ - moments.xy_ * moments.xz_) / determinant;
    }
    // Where both can't be told apart or one comes out negative, the other one explains all.
    if (fit.perZ_ <= 0.0) {
        fit.perZ_ = 0.0;
        fit.perX_ = internal::slope(moments.xy_, moments.xx_);
    } else if (fit.perX_ <= 0.0) {
        fit.perX_ = 0.0;
        fit.perZ_ = internal::slope(moments.zy_, moments.zz_);
    }
    fit.intercept_ = moments.meanY_ - fit.perX_ * moments.meanX_ - fit.perZ_ * moments.meanZ_;
    return fit;
}

LinearFit TrimmedRegression::fit(const SlopePrior &prior) const
{
    if (samples_.empty()) {
        return LinearFit{0.0, prior.perX_, prior.perZ_};
    }
    std::vector<RegressionSample> sorted = samples_;
    LinearFit fit = fitAll(sorted, sorted.size(), prior);
    const auto kept = static_cast<std::size_t>(std::ceil(internal::keptPart * static_cast<double>(sorted.size())));
    for (std::size_t round = 0; round < internal::trimRounds && kept < sorted.size(); ++round) {
        const auto error = [&fit](const RegressionSample &sample) {
            return std::abs(sample.y_ - fit.at(sample.x_, sample.z_));
        };
        std::nth_element(sorted.begin(),
                         sorted.begin() + static_cast<std::ptrdiff_t>(kept),
                         sorted.end(),
                         [&error](const auto &a, const auto &b) { return error(a) < error(b); });
        fit = fitAll(sorted, kept, prior);
    }
    return fit;
}

} // namespace filbertgw

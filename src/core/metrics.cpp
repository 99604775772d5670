#include "core/metrics.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace filbertgw {
namespace internal {
namespace {

constexpr int bucketEdgeCount = 21; ///< Powers of two from 1 ms to 2^20 ms, about 17 min.

std::vector<double> edges()
{
    std::vector<double> values;
    for (int power = 0; power < bucketEdgeCount; ++power) {
        values.push_back(0.001 * double(1U << unsigned(power)));
    }
    return values;
}

using Axis = boost::histogram::axis::variable<double>;
using Histogram = decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), Axis(edges())));

Histogram makeHistogram()
{
    return boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), Axis(edges()));
}

/** \brief A histogram with the sum of its values, which is part of a Prometheus histogram. */
struct Distribution
{
    Histogram buckets_ = makeHistogram();
    double sum_ = 0;
};

void writeHistogram(std::ostream &out, const std::string &name, const Distribution &distribution)
{
    const Axis &axis = distribution.buckets_.axis();
    std::uint64_t total = distribution.buckets_.at(-1); // Values below the first edge.
    out << "# TYPE " << name << " histogram\n";
    out << name << "_bucket{le=\"" << axis.value(0) << "\"} " << total << "\n";
    for (int index = 0; index < axis.size(); ++index) {
        total += distribution.buckets_.at(index);
        out << name << "_bucket{le=\"" << axis.value(index + 1) << "\"} " << total << "\n";
    }
    total += distribution.buckets_.at(axis.size());
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n";
    out << name << "_sum " << distribution.sum_ << "\n" << name << "_count " << total << "\n";
}

} // namespace
} // namespace internal

struct Metrics::Private
{
    std::map<std::string, std::map<std::string, std::uint64_t>> counters_; ///< By name, then by label.
    std::map<std::string, double> gauges_;
    std::map<std::string, internal::Distribution> distributions_;
};

Metrics::Metrics()
    : d_(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &label, std::uint64_t amount)
{
    d_->counters_[name][label] += amount;
}

void Metrics::gauge(const std::string &name, double value)
{
    d_->gauges_[name] = value;
}

void Metrics::observe(const std::string &name, Duration value)
{
    internal::Distribution &distribution = d_->distributions_[name];
    distribution.buckets_(toSeconds(value));
    distribution.sum_ += toSeconds(value);
}

std::string Metrics::text() const
{
    const std::string prefix = "filbertgw_";
    std::ostringstream out;
    for (const auto &[name, series] : d_->counters_) {
        out << "# TYPE " << prefix << name << " counter\n";
        for (const auto &[label, value] : series) {
            out << prefix << name << (label.empty() ? "" : "{" + label + "}") << ' ' << value << "\n";
        }
    }
    for (const auto &[name, value] : d_->gauges_) {
        out << "# TYPE " << prefix << name << " gauge\n" << prefix << name << ' ' << value << "\n";
    }
    for (const auto &[name, distribution] : d_->distributions_) {
        internal::writeHistogram(out, prefix + name, distribution);
    }
    return out.str();
}

} // namespace filbertgw

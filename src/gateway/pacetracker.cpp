#include "gateway/pacetracker.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {
namespace {

/** A pace below this part of the time allowed is no more precise than this. */
constexpr double leastPace = 0.05;

bool isSane(const PaceSums &sums)
{
    return std::isfinite(sums.weight_) && std::isfinite(sums.timeLeft_) && std::isfinite(sums.stretch_)
        && sums.weight_ >= 0.0 && sums.timeLeft_ >= 0.0 && sums.timeLeft_ <= sums.weight_
        && sums.stretch_ >= sums.weight_;
}

} // namespace
} // namespace internal

PaceSums &PaceSums::operator+=(const PaceSums &other)
{
    weight_ += other.weight_;
    timeLeft_ += other.timeLeft_;
    stretch_ += other.stretch_;
    return *this;
}

PaceTracker::PaceTracker(Clock now, PaceSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

void PaceTracker::began(const std::string &program, Duration finishIn)
{
    if (finishIn <= Duration{0}) {
        return;
    }
    if (starts_.size() >= settings_.programs_) {
        dropOldStarts();
    }
    starts_.try_emplace(program, Start{now_(), finishIn});
}

void PaceTracker::dropOldStarts()
{
    const Time oldest = now_() - settings_.programMemory_;
    for (auto start = starts_.begin(); start != starts_.end();) {
        start = start->second.at_ < oldest ? starts_.erase(start) : std::next(start);
    }
    if (starts_.size() >= settings_.programs_) {
        starts_.clear();
    }
}

void PaceTracker::continued(const std::string &service, const std::string &program, Duration finishIn, double stretch)
{
    const auto start = starts_.find(program);
    if (start == starts_.end()) {
        return;
    }
    const double left = std::clamp(
        static_cast<double>(finishIn.count()) / static_cast<double>(start->second.finishIn_.count()), 0.0, 1.0);
    Observed &observed = observed_[service];
    observed.sums_ = decayed(observed);
    observed.at_ = now_();
    observed.sums_ += PaceSums{1.0, left, std::max(1.0, stretch)};
}

void PaceTracker::reset()
{
    starts_.clear();
    observed_.clear();
}

PaceSums PaceTracker::decayed(const Observed &observed) const
{
    const double age = toSeconds(now_() - observed.at_) / toSeconds(settings_.memory_);
    const double part = std::exp(-std::max(0.0, age));
    return PaceSums{observed.sums_.weight_ * part, observed.sums_.timeLeft_ * part, observed.sums_.stretch_ * part};
}

std::optional<double> PaceTracker::allowedStretch(const std::string &service) const
{
    PaceSums sums;
    const auto own = observed_.find(service);
    if (own != observed_.end()) {
        sums = decayed(own->second);
    }
    const Time oldest = now_() - settings_.peerMemory_;
    for (const std::pair<const std::string, PeerPace> &peer : peers_) {
        for (const ServicePace &pace : peer.second.paces_) {
            if (peer.second.heard_ >= oldest && pace.service_ == service) {
                sums += pace.sums_;
            }
        }
    }
    if (sums.weight_ < settings_.leastWeight_) {
        return std::nullopt;
    }
    // Turns are spread evenly over a program's time, so that in the mean half of what it will use is left.
    const double pace = 2.0 * (1.0 - sums.timeLeft_ / sums.weight_);
    return sums.stretch_ / sums.weight_ / std::max(internal::leastPace, pace);
}

std::vector<ServicePace> PaceTracker::own() const
{
    std::vector<ServicePace> paces;
    for (const std::pair<const std::string, Observed> &entry : observed_) {
        paces.push_back(ServicePace{entry.first, decayed(entry.second)});
    }
    return paces;
}

void PaceTracker::setPeer(const std::string &peer, std::vector<ServicePace> paces)
{
    paces.erase(std::remove_if(
                    paces.begin(), paces.end(), [](const ServicePace &pace) { return !internal::isSane(pace.sums_); }),
                paces.end());
    peers_[peer] = PeerPace{now_(), std::move(paces)};
}

} // namespace filbertgw

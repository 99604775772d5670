#include "placement/pacetracker.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {
namespace {

/** Lower limit of the time used by programs relative to the time allowed; smaller estimates are too imprecise. */
constexpr double minPace = 0.05;

bool isValid(const PaceSums &sums)
{
    return std::isfinite(sums.weight_) && std::isfinite(sums.timeLeft_) && std::isfinite(sums.slowdown_)
        && sums.weight_ >= 0.0 && sums.timeLeft_ >= 0.0 && sums.timeLeft_ <= sums.weight_
        && sums.slowdown_ >= sums.weight_;
}

} // namespace
} // namespace internal

PaceSums &PaceSums::operator+=(const PaceSums &other)
{
    weight_ += other.weight_;
    timeLeft_ += other.timeLeft_;
    slowdown_ += other.slowdown_;
    return *this;
}

PaceTracker::PaceTracker(Clock now, PaceSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

void PaceTracker::programStarted(const std::string &program, Duration finishIn)
{
    if (finishIn <= Duration{0}) {
        return;
    }
    if (starts_.size() >= settings_.maxPrograms_) {
        dropOldStarts();
    }
    starts_.try_emplace(program, Start{now_(), finishIn});
}

void PaceTracker::dropOldStarts()
{
    const Time oldest = now_() - settings_.programLifetime_;
    for (auto start = starts_.begin(); start != starts_.end();) {
        start = start->second.startedAt_ < oldest ? starts_.erase(start) : std::next(start);
    }
    if (starts_.size() >= settings_.maxPrograms_) {
        starts_.clear();
    }
}

void PaceTracker::turnStarted(const std::string &service,
                              const std::string &program,
                              Duration finishIn,
                              double slowdown)
{
    const auto start = starts_.find(program);
    if (start == starts_.end()) {
        return;
    }
    const double left = std::clamp(
        static_cast<double>(finishIn.count()) / static_cast<double>(start->second.finishIn_.count()), 0.0, 1.0);
    LocalPace &local = localPaces_[service];
    local.sums_ = decayed(local);
    local.updatedAt_ = now_();
    local.sums_ += PaceSums{1.0, left, std::max(1.0, slowdown)};
}

void PaceTracker::reset()
{
    starts_.clear();
    localPaces_.clear();
}

PaceSums PaceTracker::decayed(const LocalPace &local) const
{
    const double age = toSeconds(now_() - local.updatedAt_) / toSeconds(settings_.decayTime_);
    const double factor = std::exp(-std::max(0.0, age));
    return PaceSums{local.sums_.weight_ * factor, local.sums_.timeLeft_ * factor, local.sums_.slowdown_ * factor};
}

std::optional<double> PaceTracker::allowedSlowdown(const std::string &service) const
{
    PaceSums sums;
    const auto found = localPaces_.find(service);
    if (found != localPaces_.end()) {
        sums = decayed(found->second);
    }
    const Time oldest = now_() - settings_.peerTimeout_;
    for (const std::pair<const std::string, PeerPace> &peer : peers_) {
        for (const ServicePace &pace : peer.second.paces_) {
            if (peer.second.receivedAt_ >= oldest && pace.service_ == service) {
                sums += pace.sums_;
            }
        }
    }
    if (sums.weight_ < settings_.minWeight_) {
        return std::nullopt;
    }
    // Turns are spread evenly over a program's run time: on average half of the time that it needs is used at a turn.
    const double pace = 2.0 * (1.0 - sums.timeLeft_ / sums.weight_);
    return sums.slowdown_ / sums.weight_ / std::max(internal::minPace, pace);
}

std::vector<ServicePace> PaceTracker::localPaces() const
{
    std::vector<ServicePace> paces;
    for (const std::pair<const std::string, LocalPace> &entry : localPaces_) {
        paces.push_back(ServicePace{entry.first, decayed(entry.second)});
    }
    return paces;
}

void PaceTracker::setPeerPaces(const std::string &peer, std::vector<ServicePace> paces)
{
    paces.erase(std::remove_if(
                    paces.begin(), paces.end(), [](const ServicePace &pace) { return !internal::isValid(pace.sums_); }),
                paces.end());
    peers_[peer] = PeerPace{now_(), std::move(paces)};
}

} // namespace filbertgw

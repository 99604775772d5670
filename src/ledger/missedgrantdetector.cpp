#include "ledger/missedgrantdetector.h"

#include <algorithm>
#include <utility>

namespace filbertgw {

MissedGrantDetector::MissedGrantDetector(MissedGrantDetectorHooks hooks)
    : hooks_(std::move(hooks))
{
}

void MissedGrantDetector::update()
{
    const Time now = hooks_.now_();
    if (completeAt_ == Time{0} && hooks_.isComplete_()) {
        completeAt_ = now;
        // An empty ledger is that of a new deployment: nothing is granted without the store while it is empty.
        missesPast_ = hooks_.hasRecords_();
    }
    if (missesPast_ && completeAt_ != Time{0} && isResolved(completeAt_)) {
        missesPast_ = false;
    }
    if (!hooks_.isRecorded_()) {
        outageSince_ = outageSince_ == Time{0} ? now - outageMargin : outageSince_;
        recordedAt_ = Time{0};
    } else if (outageSince_ != Time{0} && recordedAt_ == Time{0}) {
        recordedAt_ = now;
    }
    if (outageSince_ != Time{0} && hooks_.lostSince_(outageSince_) >= copies()) {
        lossAt_ = now;
    }
    if (recordedAt_ != Time{0} && now - recordedAt_ >= outageMargin) {
        outageSince_ = Time{0};
        recordedAt_ = Time{0};
    }
    if (lossAt_ != Time{0} && outageSince_ == Time{0} && isResolved(lossAt_)) {
        lossAt_ = Time{0};
    }
}

bool MissedGrantDetector::isResolved(Time since) const
{
    const Duration age = hooks_.now_() - since;
    return age >= programLifetime || (age >= informedPeerDelay && hooks_.hasInformedPeer_());
}

bool MissedGrantDetector::mayMissGrants() const
{
    return missesPast_ || lossAt_ != Time{0};
}

bool MissedGrantDetector::maySpendReserves() const
{
    const std::size_t missing = hooks_.missingSince_(hooks_.now_() - programLifetime);
    return !mayMissGrants() && missing < std::min(maxCopies, hooks_.alive_() + 1);
}

std::size_t MissedGrantDetector::copies() const
{
    const std::size_t lost = outageSince_ == Time{0} ? 0 : hooks_.lostSince_(outageSince_);
    return std::min(maxCopies, hooks_.alive_() + lost + 1);
}

} // namespace filbertgw

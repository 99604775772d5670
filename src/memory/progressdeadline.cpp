#include "memory/progressdeadline.h"

#include <algorithm>

namespace filbertgw {

void ProgressDeadline::start(Time now, Duration patience, std::size_t bytesPerSecond)
{
    deadline_ = now + patience;
    patience_ = patience;
    bytesPerSecond_ = bytesPerSecond;
}

void ProgressDeadline::addBytes(Time now, std::size_t bytes)
{
    if (bytesPerSecond_ == 0) {
        return;
    }
    const double seconds = static_cast<double>(bytes) / static_cast<double>(bytesPerSecond_);
    deadline_ = std::min(deadline_ + fromSeconds(seconds), now + patience_);
}

bool ProgressDeadline::hasPassed(Time now) const
{
    return now >= deadline_;
}

} // namespace filbertgw

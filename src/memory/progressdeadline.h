#ifndef FILBERTGW_MEMORY_PROGRESSDEADLINE_H
#define FILBERTGW_MEMORY_PROGRESSDEADLINE_H

#include "core/time.h"

#include <cstddef>

namespace filbertgw {

/**
 * \brief Deadline of a transfer that moves with its bytes: a slow transfer goes on, a stalled one ends.
 *
 * Each byte extends the deadline by the time that it takes at the least rate, up to the patience from now on. So a
 * transfer at the least rate never ends, one that stops ends after the patience at most, and a byte now and then is
 * worth no more than its share of the rate. With a rate of 0 the deadline is fixed.
 */
class ProgressDeadline
{
public:
    /** \param bytesPerSecond the least rate; 0 for a fixed deadline */
    void start(Time now, Duration patience, std::size_t bytesPerSecond);
    void addBytes(Time now, std::size_t bytes);
    bool hasPassed(Time now) const;

private:
    Time deadline_{0};
    Duration patience_{0};
    std::size_t bytesPerSecond_ = 0;
};

} // namespace filbertgw

#endif

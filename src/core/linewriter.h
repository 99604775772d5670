#ifndef FILBERTGW_CORE_LINEWRITER_H
#define FILBERTGW_CORE_LINEWRITER_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace filbertgw {

/** \brief Limits of a LineWriter. */
struct LineWriterSettings
{
    std::size_t queueBytes_ = 256 * 1024; ///< Size of the queue; lines that don't fit are dropped.
    std::size_t bytesPerSecond_ = 20 * 1024; ///< Rate limit of ordinary lines.
    std::size_t burstBytes_ = 64 * 1024; ///< Ordinary lines that may be written at once.
};

/**
 * \brief Writes lines without blocking, with a bounded queue and a rate limit (token bucket).
 *
 * A line that doesn't fit is dropped and counted. The next line that fits is preceded by one with the number of
 * dropped lines.
 */
class LineWriter
{
public:
    /** \brief Writes without blocking. \return the number of bytes written, or a negative number on failure. */
    using Write = std::function<long(const char *bytes, std::size_t size)>;

    LineWriter(Write write, Clock now, LineWriterSettings settings);

    /** \brief Queues a line; with `exemptFromRate` it is subject to the size of the queue only. */
    void add(const std::string &line, bool exemptFromRate);
    /** \brief Writes as much of the queue as is possible without blocking. */
    void flush();
    std::uint64_t droppedLines() const;
    std::size_t queuedBytes() const;

    /** \brief Returns a function that writes to a file descriptor; switches the descriptor to non-blocking mode. */
    static Write toDescriptor(int descriptor);

private:
    bool consumeRate(std::size_t bytes);

    Write write_;
    Clock now_;
    LineWriterSettings settings_;
    std::string queue_;
    double availableBytes_; ///< Fill level of the token bucket.
    Time refilledAt_{0};
    std::uint64_t droppedLines_ = 0;
    std::uint64_t unreportedDrops_ = 0; ///< Dropped since the last line that reported a number.
};

} // namespace filbertgw

#endif

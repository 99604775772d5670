#ifndef FILBERTGW_CORE_LINEWRITER_H
#define FILBERTGW_CORE_LINEWRITER_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace filbertgw {

/** \brief Bounds of a LineWriter. */
struct LineWriterSettings
{
    std::size_t queueBytes_ = 256 * 1024; ///< Lines that wait for a reader; more are left out.
    std::size_t bytesPerSecond_ = 20 * 1024; ///< Of ordinary lines; important ones only count against the queue.
    std::size_t burstBytes_ = 64 * 1024; ///< Ordinary lines that may come at once.
};

/**
 * \brief Writes lines to a pipe without ever blocking, and within a rate.
 *
 * A line that does not fit is left out and counted; the next line that does fit is preceded by one that says how many
 * were left out.
 */
class LineWriter
{
public:
    /** \brief Writes as many bytes as can be taken at once. \return their number, or a negative number if none can. */
    using Write = std::function<long(const char *bytes, std::size_t size)>;

    LineWriter(Write write, Clock now, LineWriterSettings settings);

    /** \brief Adds a line; an important one is not subject to the rate. */
    void add(const std::string &line, bool exemptFromRate);
    /** \brief Writes what waits, as far as it can be taken. */
    void flush();
    std::uint64_t droppedLines() const;
    std::size_t queuedBytes() const;

    /** \brief Writes to a file descriptor, which becomes non-blocking. */
    static Write toDescriptor(int descriptor);

private:
    bool consumeRate(std::size_t bytes);

    Write write_;
    Clock now_;
    LineWriterSettings settings_;
    std::string queue_;
    double availableBytes_; ///< Bytes of ordinary lines that may be written now.
    Time refilledAt_{0};
    std::uint64_t droppedLines_ = 0;
    std::uint64_t unreportedDrops_ = 0; ///< Left out since the last line that said so.
};

} // namespace filbertgw

#endif

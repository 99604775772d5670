#include "core/linewriter.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace filbertgw {

LineWriter::LineWriter(Write write, Clock now, LineWriterSettings settings)
    : write_(std::move(write))
    , now_(std::move(now))
    , settings_(settings)
    , availableBytes_(static_cast<double>(settings.burstBytes_))
    , refilledAt_(now_())
{
}

bool LineWriter::consumeRate(std::size_t bytes)
{
    const Time now = now_();
    const double refill = toSeconds(now - refilledAt_) * static_cast<double>(settings_.bytesPerSecond_);
    availableBytes_ = std::min(static_cast<double>(settings_.burstBytes_), availableBytes_ + refill);
    refilledAt_ = now;
    if (availableBytes_ < static_cast<double>(bytes)) {
        return false;
    }
    availableBytes_ -= static_cast<double>(bytes);
    return true;
}

void LineWriter::add(const std::string &line, bool exemptFromRate)
{
    const std::string notice = unreportedDrops_ > 0
        ? "event=log_lines_left_out count=" + std::to_string(unreportedDrops_) + '\n'
        : std::string();
    const std::size_t bytes = notice.size() + line.size() + 1;
    if (queue_.size() + bytes > settings_.queueBytes_ || (!exemptFromRate && !consumeRate(bytes))) {
        ++droppedLines_;
        ++unreportedDrops_;
        return;
    }
    queue_ += notice;
    unreportedDrops_ = 0;
    queue_ += line;
    queue_ += '\n';
}

void LineWriter::flush()
{
    std::size_t written = 0;
    while (written < queue_.size()) {
        const long count = write_(queue_.data() + written, queue_.size() - written);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    queue_.erase(0, written);
}

std::uint64_t LineWriter::droppedLines() const
{
    return droppedLines_;
}

std::size_t LineWriter::queuedBytes() const
{
    return queue_.size();
}

LineWriter::Write LineWriter::toDescriptor(int descriptor)
{
    const int flags = ::fcntl(descriptor, F_GETFL, 0);
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    return [descriptor](const char *bytes, std::size_t size) {
        return static_cast<long>(::write(descriptor, bytes, size));
    };
}

} // namespace filbertgw

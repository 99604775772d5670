#include "streams/eventsplitter.h"

#include <utility>

namespace filbertgw {

namespace internal {
namespace {

/** \brief Gets the value of a field line such as `id: 7`. \return false if the field has another name. */
bool fieldValue(std::string_view line, std::string_view name, std::string_view &value)
{
    if (line.compare(0, name.size(), name) != 0 || line.size() <= name.size() || line[name.size()] != ':') {
        return false;
    }
    value = line.substr(name.size() + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return true;
}

} // namespace
} // namespace internal

bool EventSplitter::add(const std::string &chunk)
{
    if (consumed_ > 0) {
        input_.erase(0, consumed_);
        lineStart_ -= consumed_;
        scanned_ -= consumed_;
        consumed_ = 0;
    }
    input_ += chunk;
    return input_.size() <= maxEventBytes;
}

bool EventSplitter::next(StreamEvent &event)
{
    event = StreamEvent();
    lastScanned_ = 0;
    for (std::size_t end = findLineEnd(); end != std::string::npos; end = findLineEnd()) {
        std::string_view line(input_.data() + lineStart_, end - lineStart_);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        lineStart_ = end + 1;
        if (line.empty()) {
            event = std::exchange(partial_, StreamEvent());
            event.bytes_.assign(input_, consumed_, lineStart_ - consumed_);
            consumed_ = lineStart_;
            hasData_ = false;
            return true;
        }
        addLine(line);
    }
    return false;
}

/** Finds the end of the next line, without looking again at bytes of earlier calls. */
std::size_t EventSplitter::findLineEnd()
{
    const std::size_t end = input_.find('\n', scanned_);
    const std::size_t next = end == std::string::npos ? input_.size() : end + 1;
    lastScanned_ += next - scanned_;
    scanned_ = next;
    return end;
}

void EventSplitter::addLine(std::string_view line)
{
    std::string_view value;
    if (internal::fieldValue(line, "data", value)) {
        partial_.data_.append(hasData_ ? "\n" : "").append(value);
        hasData_ = true;
    } else if (internal::fieldValue(line, "id", value)) {
        partial_.id_ = value;
    }
}

bool EventSplitter::isInsideEvent() const
{
    return consumed_ < input_.size();
}

std::size_t EventSplitter::bufferedBytes() const
{
    return input_.size() - consumed_;
}

std::size_t EventSplitter::lastScannedBytes() const
{
    return lastScanned_;
}

} // namespace filbertgw

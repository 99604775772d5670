#include "gateway/eventsplitter.h"

#include <string_view>

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
        consumed_ = 0;
    }
    input_ += chunk;
    return input_.size() <= maxEventBytes;
}

bool EventSplitter::next(StreamEvent &event)
{
    event = StreamEvent();
    bool hasData = false;
    std::size_t line = consumed_;
    for (std::size_t end = input_.find('\n', line); end != std::string::npos; end = input_.find('\n', line)) {
        std::string_view text(input_.data() + line, end - line);
        if (!text.empty() && text.back() == '\r') {
            text.remove_suffix(1);
        }
        line = end + 1;
        std::string_view value;
        if (text.empty()) {
            event.bytes_.assign(input_, consumed_, line - consumed_);
            consumed_ = line;
            return true;
        }
        if (internal::fieldValue(text, "data", value)) {
            event.data_.append(hasData ? "\n" : "").append(value);
            hasData = true;
        } else if (internal::fieldValue(text, "id", value)) {
            event.id_ = value;
        }
    }
    return false;
}

bool EventSplitter::isInsideEvent() const
{
    return consumed_ < input_.size();
}

} // namespace filbertgw

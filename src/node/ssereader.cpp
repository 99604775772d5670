#include "node/ssereader.h"

#include <utility>

namespace filbertgw {

SseReader::SseReader(TextHook event, TextHook comment)
    : event_(std::move(event))
    , comment_(std::move(comment))
{
}

bool SseReader::add(const std::string &part)
{
    std::size_t start = 0;
    for (std::size_t end = part.find('\n'); end != std::string::npos; end = part.find('\n', start)) {
        line_.append(part, start, end - start);
        start = end + 1;
        if (!line_.empty() && line_.back() == '\r') {
            line_.pop_back();
        }
        processLine(line_);
        line_.clear();
    }
    line_.append(part, start, std::string::npos);
    return line_.size() + data_.size() <= maxEventBytes;
}

void SseReader::processLine(const std::string &line)
{
    const std::string field = "data:";
    if (line.empty()) {
        const std::string data = std::exchange(data_, {});
        if (!data.empty()) {
            event_(data);
        }
        return;
    }
    if (line.front() == ':' && comment_) {
        comment_(line.substr(line.size() > 1 && line[1] == ' ' ? 2 : 1));
        return;
    }
    if (line.compare(0, field.size(), field) != 0) {
        return;
    }
    const std::size_t start = line.size() > field.size() && line[field.size()] == ' ' ? field.size() + 1 : field.size();
    data_ += (data_.empty() ? "" : "\n") + line.substr(start);
}

} // namespace filbertgw

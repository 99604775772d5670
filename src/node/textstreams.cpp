#include "node/textstreams.h"

namespace filbertgw {

std::uint64_t TextStreams::listen(const ProgramId &program, const RequestId &request, Listener listener)
{
    const std::uint64_t id = nextId_++;
    const Key key{program, request};
    Stream &stream = streams_[key];
    const std::shared_ptr<Listener> shared = std::make_shared<Listener>(std::move(listener));
    stream.listeners_[id] = shared;
    keys_[id] = key;
    const std::string textSoFar = stream.text_;
    if (!textSoFar.empty()) {
        shared->text_(textSoFar);
    }
    return id;
}

void TextStreams::stopListening(std::uint64_t listener)
{
    const auto found = keys_.find(listener);
    if (found == keys_.end()) {
        return;
    }
    const Key key = found->second;
    keys_.erase(found);
    streams_[key].listeners_.erase(listener);
    dropIfUnused(key);
}

void TextStreams::append(const ProgramId &program, const RequestId &request, const std::string &text)
{
    Stream &stream = streams_[{program, request}];
    stream.text_ += text;
    if (stream.listeners_.size() == 1) {
        const std::shared_ptr<Listener> only = stream.listeners_.begin()->second;
        only->text_(text);
        return;
    }
    // A listener may stop listening while it is called.
    const std::map<std::uint64_t, std::shared_ptr<Listener>> listeners = stream.listeners_;
    for (const auto &[id, listener] : listeners) {
        listener->text_(text);
    }
}

void TextStreams::rerun(const ProgramId &program, const RequestId &request)
{
    Stream &stream = streams_[{program, request}];
    stream.text_.clear();
    const std::map<std::uint64_t, std::shared_ptr<Listener>> listeners = stream.listeners_;
    for (const auto &[id, listener] : listeners) {
        listener->rerun_();
    }
}

void TextStreams::end(const ProgramId &program, const RequestId &request)
{
    const Key key{program, request};
    const auto found = streams_.find(key);
    if (found != streams_.end()) {
        found->second.text_.clear();
        dropIfUnused(key);
    }
}

void TextStreams::dropIfUnused(const Key &key)
{
    const auto found = streams_.find(key);
    if (found != streams_.end() && found->second.listeners_.empty() && found->second.text_.empty()) {
        streams_.erase(found);
    }
}

} // namespace filbertgw

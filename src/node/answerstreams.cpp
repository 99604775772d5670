#include "node/answerstreams.h"

namespace filbertgw {

std::uint64_t AnswerStreams::listen(const ProgramId &program, const RequestId &request, Listener listener)
{
    const std::uint64_t id = nextId_++;
    const Key key{program, request};
    Stream &stream = streams_[key];
    const std::shared_ptr<Listener> shared = std::make_shared<Listener>(std::move(listener));
    stream.listeners_[id] = shared;
    keys_[id] = key;
    const std::string sofar = stream.text_;
    if (!sofar.empty()) {
        shared->text_(sofar);
    }
    return id;
}

void AnswerStreams::stopListening(std::uint64_t listener)
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

void AnswerStreams::text(const ProgramId &program, const RequestId &request, const std::string &text)
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

void AnswerStreams::rerun(const ProgramId &program, const RequestId &request)
{
    Stream &stream = streams_[{program, request}];
    stream.text_.clear();
    const std::map<std::uint64_t, std::shared_ptr<Listener>> listeners = stream.listeners_;
    for (const auto &[id, listener] : listeners) {
        listener->rerun_();
    }
}

void AnswerStreams::end(const ProgramId &program, const RequestId &request)
{
    const Key key{program, request};
    const auto found = streams_.find(key);
    if (found != streams_.end()) {
        found->second.text_.clear();
        dropIfUnused(key);
    }
}

void AnswerStreams::dropIfUnused(const Key &key)
{
    const auto found = streams_.find(key);
    if (found != streams_.end() && found->second.listeners_.empty() && found->second.text_.empty()) {
        streams_.erase(found);
    }
}

} // namespace filbertgw

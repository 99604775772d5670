#include "node/streamedtext.h"

namespace filbertgw {

void StreamedText::rerun()
{
    run_.clear();
    isLevel_ = sent_.empty();
}

StreamedText::Step StreamedText::add(const std::string &text)
{
    // The common case, a run that is level with the caller, must not touch the text so far: it grows to megabytes.
    if (isLevel_) {
        sent_ += text;
        return {false, text};
    }
    run_ += text;
    return advance();
}

StreamedText::Step StreamedText::complete(const std::string &whole)
{
    run_ = whole;
    isLevel_ = false;
    if (sent_.size() > run_.size()) {
        sent_ = run_;
        isLevel_ = true;
        return {true, sent_};
    }
    return advance();
}

StreamedText::Step StreamedText::advance()
{
    if (run_.size() < sent_.size() && sent_.compare(0, run_.size(), run_) == 0) {
        return {};
    }
    Step step;
    step.restart_ = run_.compare(0, sent_.size(), sent_) != 0;
    step.text_ = step.restart_ ? run_ : run_.substr(sent_.size());
    sent_ = std::move(run_);
    run_.clear();
    isLevel_ = true;
    return step;
}

} // namespace filbertgw

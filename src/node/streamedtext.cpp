#include "node/streamedtext.h"

namespace filbertgw {

void StreamedText::rerun()
{
    run_.clear();
}

StreamedText::Step StreamedText::add(const std::string &text)
{
    run_ += text;
    return advance();
}

StreamedText::Step StreamedText::complete(const std::string &whole)
{
    run_ = whole;
    if (sent_.size() > run_.size()) {
        sent_ = run_;
        return {true, run_};
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
    sent_ = run_;
    return step;
}

} // namespace filbertgw

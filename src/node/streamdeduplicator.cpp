#include "node/streamdeduplicator.h"

namespace filbertgw {

void StreamDeduplicator::rerun()
{
    run_.clear();
    isInSync_ = sent_.empty();
}

StreamDeduplicator::Update StreamDeduplicator::add(const std::string &text)
{
    // Fast path: a run that is in sync only appends. Comparing or copying the text so far would be slow, as it may be
    // megabytes long.
    if (isInSync_) {
        sent_ += text;
        return {false, text};
    }
    run_ += text;
    return reconcile();
}

StreamDeduplicator::Update StreamDeduplicator::complete(const std::string &whole)
{
    run_ = whole;
    isInSync_ = false;
    if (sent_.size() > run_.size()) {
        sent_ = run_;
        isInSync_ = true;
        return {true, sent_};
    }
    return reconcile();
}

StreamDeduplicator::Update StreamDeduplicator::reconcile()
{
    if (run_.size() < sent_.size() && sent_.compare(0, run_.size(), run_) == 0) {
        return {};
    }
    Update update;
    update.restart_ = run_.compare(0, sent_.size(), sent_) != 0;
    update.text_ = update.restart_ ? run_ : run_.substr(sent_.size());
    sent_ = std::move(run_);
    run_.clear();
    isInSync_ = true;
    return update;
}

} // namespace filbertgw

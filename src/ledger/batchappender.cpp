#include "ledger/batchappender.h"

namespace filbertgw {

struct BatchAppender::Private : std::enable_shared_from_this<BatchAppender::Private>
{
    void send();
    void scheduleSlowCheck();
    void onAppended(const StoreAppendResult &result);

    BatchAppenderHooks hooks_;
    BatchAppenderSettings settings_;
    StoreAppend batch_;
    WriterSequence sequence_;
    bool inFlight_ = false;
    bool stopped_ = false;
};

void BatchAppender::Private::send()
{
    hooks_.store_.append_(batch_, [self = shared_from_this()](const StoreAppendResult &result) {
        if (!self->stopped_) {
            self->onAppended(result);
        }
    });
}

void BatchAppender::Private::scheduleSlowCheck()
{
    hooks_.after_(settings_.slowThreshold_, [self = shared_from_this(), number = sequence_.sequence_] {
        if (self->stopped_ || !self->inFlight_ || number != self->sequence_.sequence_) {
            return;
        }
        self->hooks_.onSlow_();
        self->scheduleSlowCheck();
    });
}

void BatchAppender::Private::onAppended(const StoreAppendResult &result)
{
    const bool isFenced = result.status_ == StoreStatus::Fenced;
    // The store expects the next number: an earlier attempt took effect and its response was lost.
    const bool isAlreadyAppended = isFenced && result.expectedSequence_ == sequence_.sequence_ + 1;
    if (result.status_ == StoreStatus::Ok || isAlreadyAppended) {
        inFlight_ = false;
        batch_.records_.clear();
        hooks_.onDurable_();
        return;
    }
    if (isFenced) {
        ++sequence_.epoch_;
        batch_.sequence_ = sequence_;
    }
    // The same batch with the same number takes effect once, however many attempts arrive.
    hooks_.after_(settings_.retryDelay_, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->send();
        }
    });
}

BatchAppender::BatchAppender(BatchAppenderHooks hooks, BatchAppenderSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = std::move(settings);
    d_->sequence_.writer_ = d_->settings_.writer_;
    d_->batch_.to_ = d_->settings_.partition_;
}

BatchAppender::~BatchAppender()
{
    d_->stopped_ = true;
}

bool BatchAppender::isBusy() const
{
    return d_->inFlight_;
}

std::uint64_t BatchAppender::nextBatch() const
{
    return d_->sequence_.sequence_ + 1;
}

void BatchAppender::append(std::vector<KeyedRecord> records)
{
    ++d_->sequence_.sequence_;
    d_->batch_.records_ = std::move(records);
    d_->batch_.sequence_ = d_->sequence_;
    d_->inFlight_ = true;
    d_->scheduleSlowCheck();
    d_->send();
}

} // namespace filbertgw

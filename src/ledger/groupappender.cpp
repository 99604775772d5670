#include "ledger/groupappender.h"

namespace filbertgw {

struct GroupAppender::Private : std::enable_shared_from_this<GroupAppender::Private>
{
    void send();
    void watch();
    void arrived(const StoreAppended &result);

    GroupAppenderHooks hooks_;
    GroupAppenderSettings settings_;
    StoreAppend group_;
    WriterSequence sequence_;
    bool busy_ = false;
    bool stopped_ = false;
};

void GroupAppender::Private::send()
{
    hooks_.store_.append_(group_, [self = shared_from_this()](const StoreAppended &result) {
        if (!self->stopped_) {
            self->arrived(result);
        }
    });
}

void GroupAppender::Private::watch()
{
    hooks_.after_(settings_.slowAfter_, [self = shared_from_this(), number = sequence_.sequence_] {
        if (self->stopped_ || !self->busy_ || number != self->sequence_.sequence_) {
            return;
        }
        self->hooks_.onSlow_();
        self->watch();
    });
}

void GroupAppender::Private::arrived(const StoreAppended &result)
{
    const bool isFenced = result.status_ == StoreStatus::Fenced;
    // Fenced at the number after this one: an earlier try took effect and its answer was lost.
    const bool isRepeated = isFenced && result.expectedSequence_ == sequence_.sequence_ + 1;
    if (result.status_ == StoreStatus::Ok || isRepeated) {
        busy_ = false;
        group_.records_.clear();
        hooks_.onDurable_();
        return;
    }
    if (isFenced) {
        ++sequence_.epoch_;
        group_.sequence_ = sequence_;
    }
    // The same group under the same number: it takes effect once, however many tries arrive.
    hooks_.after_(settings_.retry_, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->send();
        }
    });
}

GroupAppender::GroupAppender(GroupAppenderHooks hooks, GroupAppenderSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = std::move(settings);
    d_->sequence_.writer_ = d_->settings_.writer_;
    d_->group_.to_ = d_->settings_.partition_;
}

GroupAppender::~GroupAppender()
{
    d_->stopped_ = true;
}

bool GroupAppender::isBusy() const
{
    return d_->busy_;
}

std::uint64_t GroupAppender::nextNumber() const
{
    return d_->sequence_.sequence_ + 1;
}

void GroupAppender::append(std::vector<KeyedRecord> records)
{
    ++d_->sequence_.sequence_;
    d_->group_.records_ = std::move(records);
    d_->group_.sequence_ = d_->sequence_;
    d_->busy_ = true;
    d_->watch();
    d_->send();
}

} // namespace filbertgw

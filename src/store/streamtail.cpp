#include "store/streamtail.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace filbertgw {

struct StreamTail::Private : std::enable_shared_from_this<StreamTail::Private>
{
    void readPage();
    void pageOverdue(std::uint64_t call);
    void pageArrived(Time sent, const StorePage &page);
    void read();
    Duration overdueAfter() const;
    void readOverdue(std::uint64_t number);
    void readArrived(std::uint64_t number, Time sent, const StorePage &page);
    void takeRecords(Time sent, const StorePage &page);
    void readOn(const StorePage &page);
    void startRebuild();
    void schedule(Duration delay);
    void setReachable(bool reachable);
    void report(const KeyedRecord &record);
    void reportVanished();

    StreamTailHooks hooks_;
    StreamTailSettings settings_;
    std::uint64_t position_ = 0;
    std::uint64_t snapshotEnd_ = 0;
    std::unordered_map<std::string, std::uint64_t> offsets_; ///< Newest offset reported for each key.
    std::unordered_set<std::string> seen_; ///< Keys met while the newest records are read.
    Time rebuildStarted_{0};
    Time currentAsOf_{0};
    Duration delay_{0}; ///< Of the last answer: without the wait, if that has ended without a record.
    bool complete_ = false;
    bool rebuild_ = false; ///< The newest records have to be read anew.
    bool reachable_ = false;
    bool reading_ = false; ///< The newest read, or the read of a page, has not ended.
    bool readAgain_ = false;
    bool stopped_ = false;
    std::string pageAfter_; ///< Last key of the newest records that was read; empty before the first page.
    std::uint64_t newestPage_ = 0; ///< Number of the last call for a page.
    std::uint64_t firstPageCall_ = 0; ///< Calls of smaller numbers asked for a page that has arrived.
    std::uint64_t newestRead_ = 0; ///< Number of the last read that was sent.
    std::uint64_t newestOffset_ = 0; ///< Where that read began.
    std::uint64_t firstRead_ = 0; ///< Reads of smaller numbers were sent before the newest records were read anew.
    std::uint64_t scheduled_ = 0; ///< Number of the newest planned read; older plans are void.
};

void StreamTail::Private::setReachable(bool reachable)
{
    if (reachable_ != reachable) {
        reachable_ = reachable;
        if (hooks_.onReachable_) {
            hooks_.onReachable_(reachable);
        }
    }
}

void StreamTail::Private::report(const KeyedRecord &record)
{
    const auto known = offsets_.find(record.key_);
    if (known != offsets_.end() && known->second >= record.offset_) {
        return;
    }
    if (record.value_) {
        offsets_[record.key_] = record.offset_;
    } else if (known != offsets_.end()) {
        offsets_.erase(known);
    }
    hooks_.onRecord_(record);
}

void StreamTail::Private::schedule(Duration delay)
{
    const std::uint64_t number = ++scheduled_;
    hooks_.after_(delay, [self = shared_from_this(), number] {
        if (!self->stopped_ && number == self->scheduled_) {
            self->complete_ && !self->rebuild_ ? self->read() : self->readPage();
        }
    });
}

/** Reads the page of the newest records that begins behind the last key that was read. */
void StreamTail::Private::readPage()
{
    reading_ = true;
    ++scheduled_;
    const std::uint64_t call = ++newestPage_;
    const Time sent = hooks_.now_();
    const StoreNewest request{settings_.partition_, pageAfter_, settings_.timeout_};
    hooks_.store_.newest_(request, [self = shared_from_this(), call, sent](const StorePage &page) {
        const bool decides = call == self->newestPage_ || page.status_ == StoreStatus::Ok;
        if (!self->stopped_ && call >= self->firstPageCall_ && decides) {
            self->reading_ = false;
            self->pageArrived(sent, page);
        }
    });
    // A page may bring so much that it is not asked for twice at the same time.
    hooks_.after_(settings_.followsDelay_ ? settings_.timeout_ : settings_.overdue_, [self = shared_from_this(), call] {
        if (!self->stopped_) {
            self->pageOverdue(call);
        }
    });
}

void StreamTail::Private::pageOverdue(std::uint64_t call)
{
    if (call == newestPage_ && call >= firstPageCall_ && reading_) {
        setReachable(false);
        readPage();
    }
}

void StreamTail::Private::pageArrived(Time sent, const StorePage &page)
{
    setReachable(page.status_ == StoreStatus::Ok);
    if (page.status_ != StoreStatus::Ok) {
        schedule(settings_.retry_);
        return;
    }
    // Other answers to the same call come too late.
    firstPageCall_ = newestPage_ + 1;
    if (pageAfter_.empty()) {
        // Pages are no snapshot: what changes after the first one is read again as records.
        snapshotEnd_ = std::max(page.end_, position_);
        rebuildStarted_ = sent;
        seen_.clear();
    }
    for (const KeyedRecord &record : page.records_) {
        seen_.insert(record.key_);
        report(record);
    }
    if (page.more_ && !page.records_.empty()) {
        pageAfter_ = page.records_.back().key_;
        readPage();
        return;
    }
    pageAfter_.clear();
    position_ = snapshotEnd_;
    currentAsOf_ = rebuildStarted_;
    complete_ = true;
    rebuild_ = false;
    reportVanished();
    read();
}

/** Reports keys that were deleted by records which the store no longer has. */
void StreamTail::Private::reportVanished()
{
    std::vector<std::string> vanished;
    for (const std::pair<const std::string, std::uint64_t> &entry : offsets_) {
        if (entry.second < snapshotEnd_ && seen_.count(entry.first) == 0) {
            vanished.push_back(entry.first);
        }
    }
    seen_.clear();
    for (const std::string &key : vanished) {
        offsets_.erase(key);
        hooks_.onRecord_(KeyedRecord{key, std::nullopt, snapshotEnd_});
    }
}

void StreamTail::Private::read()
{
    reading_ = true;
    readAgain_ = false;
    ++scheduled_;
    const std::uint64_t number = ++newestRead_;
    newestOffset_ = position_;
    const StoreRead request{settings_.partition_, position_, settings_.wait_, settings_.timeout_};
    const Time sent = hooks_.now_();
    hooks_.store_.read_(request, [self = shared_from_this(), number, sent](const StorePage &page) {
        if (!self->stopped_ && number >= self->firstRead_) {
            self->readArrived(number, sent, page);
        }
    });
    hooks_.after_(settings_.wait_ + overdueAfter(), [self = shared_from_this(), number] {
        if (!self->stopped_) {
            self->readOverdue(number);
        }
    });
}

Duration StreamTail::Private::overdueAfter() const
{
    return settings_.followsDelay_ ? std::clamp(2 * delay_, settings_.overdue_, settings_.timeout_)
                                   : settings_.overdue_;
}

void StreamTail::Private::readOverdue(std::uint64_t number)
{
    if (number == newestRead_ && number >= firstRead_ && reading_) {
        setReachable(false);
        read();
    }
}

void StreamTail::Private::readArrived(std::uint64_t number, Time sent, const StorePage &page)
{
    const bool isNewest = number == newestRead_;
    if (!isNewest && page.status_ != StoreStatus::Ok) {
        return; // The read that was sent in its place decides.
    }
    if (isNewest) {
        reading_ = false;
    }
    if (page.status_ == StoreStatus::Trimmed) {
        startRebuild();
        return;
    }
    setReachable(page.status_ == StoreStatus::Ok);
    if (page.status_ != StoreStatus::Ok) {
        schedule(settings_.retry_);
        return;
    }
    takeRecords(sent, page);
    // Of an older read: the newest one still waits for records, unless it began before those that have arrived now.
    if (isNewest || position_ > newestOffset_) {
        reading_ = false;
        readOn(page);
    }
}

void StreamTail::Private::readOn(const StorePage &page)
{
    if (position_ < page.end_ || readAgain_) {
        read();
        return;
    }
    schedule(page.records_.empty() ? Duration{0} : settings_.pause_);
}

void StreamTail::Private::takeRecords(Time sent, const StorePage &page)
{
    const Duration took = hooks_.now_() - sent;
    delay_ = page.records_.empty() ? took - std::min(took, settings_.wait_) : took;
    for (const KeyedRecord &record : page.records_) {
        // An overdue answer may bring what a later read has brought already.
        if (record.offset_ >= position_) {
            report(record);
            position_ = record.offset_ + 1;
        }
    }
    if (position_ >= page.end_) {
        currentAsOf_ = std::max(currentAsOf_, sent);
    }
}

void StreamTail::Private::startRebuild()
{
    firstRead_ = newestRead_ + 1;
    rebuild_ = true;
    setReachable(true);
    // Not at once: a store that keeps no history deletes each record before it is read.
    schedule(settings_.pause_);
}

StreamTail::StreamTail(StreamTailHooks hooks, StreamTailSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = std::move(settings);
}

StreamTail::~StreamTail()
{
    d_->stopped_ = true;
}

void StreamTail::start()
{
    d_->readPage();
}

void StreamTail::readNow()
{
    if (d_->reading_) {
        d_->readAgain_ = true;
    } else if (d_->rebuild_) {
        d_->readPage();
    } else if (d_->complete_) {
        d_->read();
    }
}

std::uint64_t StreamTail::position() const
{
    return d_->position_;
}

bool StreamTail::isComplete() const
{
    return d_->complete_;
}

Time StreamTail::currentAsOf() const
{
    return d_->currentAsOf_;
}

bool StreamTail::isReachable() const
{
    return d_->reachable_;
}

} // namespace filbertgw

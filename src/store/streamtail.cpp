#include "store/streamtail.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace filbertgw {

struct StreamTail::Private : std::enable_shared_from_this<StreamTail::Private>
{
    void readPage();
    void hedgePage(std::uint64_t call);
    void onPage(Time sent, const StorePage &page);
    void read();
    Duration hedgeDelay() const;
    void hedgeRead(std::uint64_t number);
    void onRead(std::uint64_t number, Time sent, const StorePage &page);
    void applyRecords(Time sent, const StorePage &page);
    void scheduleNextRead(const StorePage &page);
    void startRebuild();
    void readRefresh();
    void onRefresh(Time sent, const StorePage &page);
    void endRefresh(bool isCurrent);
    void schedule(Duration delay);
    void setReachable(bool reachable);
    void deliver(const KeyedRecord &record);
    void deliverDeletions();
    void reportAdvance() const;

    StreamTailHooks hooks_;
    StreamTailSettings settings_;
    std::uint64_t position_ = 0;
    std::uint64_t snapshotEnd_ = 0;
    std::unordered_map<std::string, std::uint64_t> offsets_; ///< Newest reported offset of each key.
    std::unordered_set<std::string> snapshotKeys_; ///< Keys seen so far in the read of the newest records.
    Time rebuildStarted_{0};
    Time currentAsOf_{0};
    Duration answerDelay_{0}; ///< Of the last response; without the wait if it had no record.
    bool complete_ = false;
    bool rebuildDue_ = false; ///< The newest records must be read again.
    bool reachable_ = false;
    bool reading_ = false; ///< The latest read or page call is in flight.
    bool readAgain_ = false;
    bool stopped_ = false;
    std::string pageAfter_; ///< Last key read of the newest records; empty before the first page.
    std::uint64_t lastPageCall_ = 0; ///< Number of the latest page call.
    std::uint64_t firstValidPageCall_ = 0; ///< Earlier calls are for a page that has already arrived.
    std::uint64_t lastRead_ = 0; ///< Number of the latest read.
    std::uint64_t lastReadOffset_ = 0; ///< Start offset of the latest read.
    std::uint64_t firstValidRead_ = 0; ///< Earlier reads were sent before the current rebuild.
    std::uint64_t lastScheduled_ = 0; ///< Number of the latest scheduled read; earlier ones are cancelled.
    std::vector<std::function<void(bool)>> refreshing_; ///< Callers of refresh() that the read in progress serves.
    std::vector<std::function<void(bool)>> refreshNext_; ///< Those that came after it was sent.
    Time refreshDeadline_{0};
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

void StreamTail::Private::deliver(const KeyedRecord &record)
{
    const auto entry = offsets_.find(record.key_);
    if (entry != offsets_.end() && entry->second >= record.offset_) {
        return;
    }
    if (record.value_) {
        offsets_[record.key_] = record.offset_;
    } else if (entry != offsets_.end()) {
        offsets_.erase(entry);
    }
    hooks_.onRecord_(record);
}

void StreamTail::Private::schedule(Duration delay)
{
    const std::uint64_t number = ++lastScheduled_;
    hooks_.after_(delay, [self = shared_from_this(), number] {
        if (!self->stopped_ && number == self->lastScheduled_) {
            self->complete_ && !self->rebuildDue_ ? self->read() : self->readPage();
        }
    });
}

/** Reads the next page of the newest records. */
void StreamTail::Private::readPage()
{
    reading_ = true;
    ++lastScheduled_;
    const std::uint64_t call = ++lastPageCall_;
    const Time sent = hooks_.now_();
    const StoreNewest request{settings_.partition_, pageAfter_, settings_.timeout_};
    hooks_.store_.newest_(request, [self = shared_from_this(), call, sent](const StorePage &page) {
        const bool isRelevant = call == self->lastPageCall_ || page.status_ == StoreStatus::Ok;
        if (!self->stopped_ && call >= self->firstValidPageCall_ && isRelevant) {
            self->reading_ = false;
            self->onPage(sent, page);
        }
    });
    // Large pages are not requested twice at the same time.
    hooks_.after_(settings_.adaptsHedgeDelay_ ? settings_.timeout_ : settings_.hedgeDelay_,
                  [self = shared_from_this(), call] {
                      if (!self->stopped_) {
                          self->hedgePage(call);
                      }
                  });
}

void StreamTail::Private::hedgePage(std::uint64_t call)
{
    if (call == lastPageCall_ && call >= firstValidPageCall_ && reading_) {
        setReachable(false);
        readPage();
    }
}

void StreamTail::Private::onPage(Time sent, const StorePage &page)
{
    setReachable(page.status_ == StoreStatus::Ok);
    if (page.status_ != StoreStatus::Ok) {
        schedule(settings_.retryDelay_);
        return;
    }
    // Ignore further responses to calls for this page.
    firstValidPageCall_ = lastPageCall_ + 1;
    if (pageAfter_.empty()) {
        // The pages are not a consistent snapshot: changes after the first page are read again as records.
        snapshotEnd_ = page.end_;
        rebuildStarted_ = sent;
        snapshotKeys_.clear();
    }
    for (const KeyedRecord &record : page.records_) {
        snapshotKeys_.insert(record.key_);
        deliver(record);
    }
    if (page.more_ && !page.records_.empty()) {
        pageAfter_ = page.records_.back().key_;
        readPage();
        return;
    }
    pageAfter_.clear();
    // A snapshot from before the last read says nothing about what was appended since.
    const bool isOutdated = snapshotEnd_ < position_;
    if (!isOutdated) {
        position_ = snapshotEnd_;
        currentAsOf_ = rebuildStarted_;
    }
    complete_ = true;
    rebuildDue_ = false;
    deliverDeletions();
    reportAdvance();
    read();
}

void StreamTail::Private::reportAdvance() const
{
    if (hooks_.onAdvanced_) {
        hooks_.onAdvanced_();
    }
}

/** Reports the deletion of keys whose deleting records the store has trimmed. */
void StreamTail::Private::deliverDeletions()
{
    std::vector<std::string> deleted;
    for (const std::pair<const std::string, std::uint64_t> &entry : offsets_) {
        if (entry.second < snapshotEnd_ && snapshotKeys_.count(entry.first) == 0) {
            deleted.push_back(entry.first);
        }
    }
    snapshotKeys_.clear();
    for (const std::string &key : deleted) {
        offsets_.erase(key);
        hooks_.onRecord_(KeyedRecord{key, std::nullopt, snapshotEnd_});
    }
}

void StreamTail::Private::read()
{
    reading_ = true;
    readAgain_ = false;
    ++lastScheduled_;
    const std::uint64_t number = ++lastRead_;
    lastReadOffset_ = position_;
    const StoreRead request{settings_.partition_, position_, settings_.wait_, settings_.timeout_};
    const Time sent = hooks_.now_();
    hooks_.store_.read_(request, [self = shared_from_this(), number, sent](const StorePage &page) {
        if (!self->stopped_ && number >= self->firstValidRead_) {
            self->onRead(number, sent, page);
        }
    });
    hooks_.after_(settings_.wait_ + hedgeDelay(), [self = shared_from_this(), number] {
        if (!self->stopped_) {
            self->hedgeRead(number);
        }
    });
}

Duration StreamTail::Private::hedgeDelay() const
{
    return settings_.adaptsHedgeDelay_ ? std::clamp(2 * answerDelay_, settings_.hedgeDelay_, settings_.timeout_)
                                       : settings_.hedgeDelay_;
}

void StreamTail::Private::hedgeRead(std::uint64_t number)
{
    if (number == lastRead_ && number >= firstValidRead_ && reading_) {
        setReachable(false);
        read();
    }
}

void StreamTail::Private::onRead(std::uint64_t number, Time sent, const StorePage &page)
{
    const bool isLast = number == lastRead_;
    if (!isLast && page.status_ != StoreStatus::Ok) {
        return; // The latest read decides.
    }
    if (isLast) {
        reading_ = false;
    }
    if (page.status_ == StoreStatus::Trimmed) {
        startRebuild();
        return;
    }
    setReachable(page.status_ == StoreStatus::Ok);
    if (page.status_ != StoreStatus::Ok) {
        schedule(settings_.retryDelay_);
        return;
    }
    applyRecords(sent, page);
    // After a response to an older read the latest one keeps waiting, unless it starts before the records just
    // received.
    if (isLast || position_ > lastReadOffset_) {
        reading_ = false;
        scheduleNextRead(page);
    }
}

void StreamTail::Private::scheduleNextRead(const StorePage &page)
{
    if (position_ < page.end_ || readAgain_) {
        read();
        return;
    }
    schedule(page.records_.empty() ? Duration{0} : settings_.pause_);
}

void StreamTail::Private::applyRecords(Time sent, const StorePage &page)
{
    const Duration elapsed = hooks_.now_() - sent;
    answerDelay_ = page.records_.empty() ? elapsed - std::min(elapsed, settings_.wait_) : elapsed;
    for (const KeyedRecord &record : page.records_) {
        // A late response may repeat the records of a later read.
        if (record.offset_ >= position_) {
            deliver(record);
            position_ = record.offset_ + 1;
        }
    }
    if (position_ >= page.end_) {
        currentAsOf_ = std::max(currentAsOf_, sent);
    }
    reportAdvance();
}

void StreamTail::Private::startRebuild()
{
    firstValidRead_ = lastRead_ + 1;
    rebuildDue_ = true;
    setReachable(true);
    // Not immediately: a store without history trims every record before it is read, so rebuilds would never pause.
    schedule(settings_.pause_);
}

void StreamTail::Private::readRefresh()
{
    const Time sent = hooks_.now_();
    const Duration left = refreshDeadline_ - sent;
    const StoreRead request{settings_.partition_, position_, Duration{0}, left};
    hooks_.store_.read_(request, [self = shared_from_this(), sent](const StorePage &page) {
        if (!self->stopped_) {
            self->onRefresh(sent, page);
        }
    });
}

void StreamTail::Private::onRefresh(Time sent, const StorePage &page)
{
    if (page.status_ != StoreStatus::Ok) {
        endRefresh(false);
        return;
    }
    applyRecords(sent, page);
    // An answer that comes later has waited while this process was suspended: the stream may have grown since.
    const bool isLate = hooks_.now_() > refreshDeadline_;
    if (position_ >= page.end_) {
        endRefresh(!isLate);
    } else if (page.records_.empty() || isLate) {
        endRefresh(false);
    } else {
        readRefresh();
    }
}

void StreamTail::Private::endRefresh(bool isCurrent)
{
    const std::vector<std::function<void(bool)>> served = std::exchange(refreshing_, {});
    for (const std::function<void(bool)> &done : served) {
        done(isCurrent);
    }
    if (refreshing_.empty() && !refreshNext_.empty()) {
        refreshing_ = std::exchange(refreshNext_, {});
        refreshDeadline_ = hooks_.now_() + settings_.refreshTimeout_;
        readRefresh();
    }
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
    } else if (d_->rebuildDue_) {
        d_->readPage();
    } else if (d_->complete_) {
        d_->read();
    }
}

void StreamTail::refresh(std::function<void(bool)> done)
{
    if (isReadingSnapshot()) {
        done(false);
        return;
    }
    if (!d_->refreshing_.empty()) {
        d_->refreshNext_.push_back(std::move(done));
        return;
    }
    d_->refreshing_.push_back(std::move(done));
    d_->refreshDeadline_ = d_->hooks_.now_() + d_->settings_.refreshTimeout_;
    d_->readRefresh();
}

bool StreamTail::isReadingSnapshot() const
{
    return !d_->complete_ || d_->rebuildDue_;
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

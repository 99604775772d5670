#include "store/streamtail.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace filbertgw {

struct StreamTail::Private : std::enable_shared_from_this<StreamTail::Private>
{
    void readNewest(const std::string &after);
    void newestArrived(const StorePage &page);
    void read();
    void readArrived(Time sent, const StorePage &page);
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
    bool firstPage_ = true;
    bool complete_ = false;
    bool rebuild_ = false; ///< The newest records have to be read anew.
    bool reachable_ = false;
    bool reading_ = false;
    bool readAgain_ = false;
    bool stopped_ = false;
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
            self->complete_ && !self->rebuild_ ? self->read() : self->readNewest({});
        }
    });
}

void StreamTail::Private::readNewest(const std::string &after)
{
    if (after.empty()) {
        firstPage_ = true;
        seen_.clear();
        rebuildStarted_ = hooks_.now_();
    }
    reading_ = true;
    hooks_.store_.newest_(settings_.partition_, after, [self = shared_from_this()](const StorePage &page) {
        self->reading_ = false;
        if (!self->stopped_) {
            self->newestArrived(page);
        }
    });
}

void StreamTail::Private::newestArrived(const StorePage &page)
{
    setReachable(page.status_ == StoreStatus::Ok);
    if (page.status_ != StoreStatus::Ok) {
        schedule(settings_.retry_);
        return;
    }
    if (firstPage_) {
        // Pages are no snapshot: what changes after the first one is read again as records.
        snapshotEnd_ = std::max(page.end_, position_);
        firstPage_ = false;
    }
    for (const KeyedRecord &record : page.records_) {
        seen_.insert(record.key_);
        report(record);
    }
    if (page.more_ && !page.records_.empty()) {
        readNewest(page.records_.back().key_);
        return;
    }
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
    const StoreRead request{settings_.partition_, position_, settings_.wait_};
    const Time sent = hooks_.now_();
    hooks_.store_.read_(request, [self = shared_from_this(), sent](const StorePage &page) {
        self->reading_ = false;
        if (!self->stopped_) {
            self->readArrived(sent, page);
        }
    });
}

void StreamTail::Private::readArrived(Time sent, const StorePage &page)
{
    if (page.status_ == StoreStatus::Trimmed) {
        // Not at once: a store that keeps no history deletes each record before it is read.
        rebuild_ = true;
        setReachable(true);
        schedule(settings_.pause_);
        return;
    }
    setReachable(page.status_ == StoreStatus::Ok);
    if (page.status_ != StoreStatus::Ok) {
        schedule(settings_.retry_);
        return;
    }
    for (const KeyedRecord &record : page.records_) {
        report(record);
        position_ = std::max(position_, record.offset_ + 1);
    }
    if (position_ >= page.end_) {
        currentAsOf_ = std::max(currentAsOf_, sent);
    }
    if (position_ < page.end_ || readAgain_) {
        read();
        return;
    }
    schedule(page.records_.empty() ? Duration{0} : settings_.pause_);
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
    d_->readNewest({});
}

void StreamTail::readNow()
{
    if (d_->reading_) {
        d_->readAgain_ = true;
    } else if (d_->rebuild_) {
        d_->readNewest({});
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

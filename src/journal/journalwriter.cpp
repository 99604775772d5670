#include "journal/journalwriter.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace filbertgw {

namespace {

struct QueuedRecord
{
    std::string id_;
    nlohmann::json body_;
    std::size_t bytes_ = 0;
    JournalWriter::DurableCallback durable_;
};

enum class WriterState : std::uint8_t { Idle, Appending, MustReadBack, ReadingBack, MustAppend };

} // namespace

struct JournalWriter::Private : std::enable_shared_from_this<JournalWriter::Private>
{
    JournalWriterSettings settings_;
    JournalWriterHooks hooks_;
    std::deque<QueuedRecord> queue_; ///< The first batchSize_ records form the current batch.
    std::size_t batchSize_ = 0;
    std::size_t bytes_ = 0;
    WriterState state_ = WriterState::Idle;
    Offset knownOffset_ = 0;
    Offset readFrom_ = 1; ///< Offset at which the read-back of the current batch continues.
    Time retryAt_{0};
    Duration retryDelay_{0};
    std::uint64_t appends_ = 0;
    bool up_ = true;

    void startBatch();
    void sendBatch();
    void onAppended(const AppendResult &result);
    void readBack(Offset from);
    void onRead(bool reached, const LogPage &page);
    void finishRecord(std::size_t index, Offset offset);
    void finishBatch(Offset firstOffset);
    void scheduleRetry(WriterState next);
    void clearFailure();
};

JournalWriter::JournalWriter(JournalWriterSettings settings, JournalWriterHooks hooks)
    : d_(std::make_shared<Private>())
{
    d_->settings_ = std::move(settings);
    d_->hooks_ = std::move(hooks);
}

JournalWriter::~JournalWriter() = default;

void JournalWriter::append(const Record &record, DurableCallback durable)
{
    QueuedRecord queued;
    queued.id_ = record.id_.value();
    queued.body_ = toJson(record);
    queued.bytes_ = queued.body_.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size();
    queued.durable_ = std::move(durable);
    d_->bytes_ += queued.bytes_;
    d_->queue_.push_back(std::move(queued));
    if (d_->state_ == WriterState::Idle) {
        d_->startBatch();
    }
}

bool JournalWriter::hasRoom(std::size_t bytes) const
{
    return d_->bytes_ + bytes <= d_->settings_.maxBacklogBytes_;
}

void JournalWriter::tick()
{
    if (d_->hooks_.now_() < d_->retryAt_) {
        return;
    }
    if (d_->state_ == WriterState::MustAppend) {
        d_->sendBatch();
    } else if (d_->state_ == WriterState::MustReadBack) {
        d_->readBack(d_->readFrom_);
    }
}

void JournalWriter::onReadUpTo(Offset offset)
{
    d_->knownOffset_ = std::max(d_->knownOffset_, offset);
}

std::size_t JournalWriter::backlogBytes() const
{
    return d_->bytes_;
}

std::size_t JournalWriter::backlogRecords() const
{
    return d_->queue_.size();
}

std::uint64_t JournalWriter::appends() const
{
    return d_->appends_;
}

bool JournalWriter::isUp() const
{
    return d_->up_;
}

void JournalWriter::Private::startBatch()
{
    if (queue_.empty()) {
        state_ = WriterState::Idle;
        return;
    }
    std::size_t bytes = 0;
    batchSize_ = 0;
    while (batchSize_ < queue_.size() && batchSize_ < settings_.maxBatchRecords_) {
        bytes += queue_[batchSize_].bytes_;
        if (batchSize_ > 0 && bytes > settings_.maxBatchBytes_) {
            break;
        }
        ++batchSize_;
    }
    readFrom_ = knownOffset_ + 1;
    sendBatch();
}

void JournalWriter::Private::sendBatch()
{
    state_ = WriterState::Appending;
    ++appends_;
    std::vector<nlohmann::json> entries;
    for (std::size_t i = 0; i < batchSize_; ++i) {
        entries.push_back(queue_[i].body_);
    }
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.append_(settings_.stream_, std::move(entries), [weak](const AppendResult &result) {
        if (const std::shared_ptr<Private> self = weak.lock()) {
            self->onAppended(result);
        }
    });
}

void JournalWriter::Private::onAppended(const AppendResult &result)
{
    switch (result.status_) {
    case AppendStatus::Durable:
        finishBatch(result.firstOffset_);
        break;
    case AppendStatus::Rejected:
        scheduleRetry(WriterState::MustAppend);
        break;
    case AppendStatus::Unknown:
        if (settings_.readBack_) {
            scheduleRetry(WriterState::MustReadBack);
            readBack(readFrom_);
        } else {
            finishBatch(knownOffset_ + 1);
        }
        break;
    }
}

void JournalWriter::Private::readBack(Offset from)
{
    state_ = WriterState::ReadingBack;
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_(settings_.stream_, from, Duration(0), [weak](bool reached, const LogPage &page) {
        if (const std::shared_ptr<Private> self = weak.lock()) {
            self->onRead(reached, page);
        }
    });
}

void JournalWriter::Private::onRead(bool reached, const LogPage &page)
{
    if (!reached) {
        scheduleRetry(WriterState::MustReadBack);
        return;
    }
    std::map<std::string, Offset> found;
    for (const LogEntry &entry : page.entries_) {
        const nlohmann::json::const_iterator id = entry.body_.is_object() ? entry.body_.find("id") : entry.body_.cend();
        if (entry.body_.is_object() && id != entry.body_.end() && id->is_string()) {
            found.emplace(id->get<std::string>(), entry.offset_);
        }
    }
    // An append is atomic, so that finding the first record would suffice; the others are checked as a safeguard.
    for (std::size_t i = 0; i < batchSize_;) {
        const std::map<std::string, Offset>::const_iterator match = found.find(queue_[i].id_);
        if (match == found.end()) {
            ++i;
        } else {
            finishRecord(i, match->second);
        }
    }
    if (batchSize_ == 0) {
        clearFailure();
        startBatch();
    } else if (page.entries_.empty()) {
        sendBatch();
    } else {
        readFrom_ = page.nextOffset_;
        readBack(readFrom_);
    }
}

void JournalWriter::Private::finishRecord(std::size_t index, Offset offset)
{
    const QueuedRecord done = std::move(queue_[index]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
    --batchSize_;
    bytes_ -= done.bytes_;
    knownOffset_ = std::max(knownOffset_, offset);
    if (done.durable_) {
        done.durable_(offset);
    }
}

void JournalWriter::Private::finishBatch(Offset firstOffset)
{
    clearFailure();
    for (Offset offset = firstOffset; batchSize_ > 0; ++offset) {
        finishRecord(0, offset);
    }
    startBatch();
}

void JournalWriter::Private::scheduleRetry(WriterState next)
{
    state_ = next;
    up_ = false;
    retryDelay_ =
        retryDelay_.count() == 0 ? settings_.minRetryDelay_ : std::min(retryDelay_ * 2, settings_.maxRetryDelay_);
    retryAt_ = hooks_.now_() + retryDelay_;
}

void JournalWriter::Private::clearFailure()
{
    up_ = true;
    retryDelay_ = Duration(0);
    retryAt_ = Time(0);
}

} // namespace filbertgw

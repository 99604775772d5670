#include "fakes/fakestore.h"

#include <algorithm>

namespace filbertgw::bench {

namespace internal {
namespace {

/** Bytes of a record in an answer: its value in base64, with the names of its fields. */
std::size_t sizeOf(const KeyedRecord &record)
{
    constexpr std::size_t fields = 40;
    return fields + record.key_.size() + (record.value_ ? (record.value_->size() + 2) / 3 * 4 : 0);
}

std::string nameOf(const PartitionId &id)
{
    return id.stream_ + '/' + std::to_string(id.partition_);
}

} // namespace
} // namespace internal

FakeStore::FakeStore(EventQueue &queue)
    : queue_(queue)
{
}

FakeStore::Partition &FakeStore::partition(const PartitionId &id)
{
    return partitions_[internal::nameOf(id)];
}

bool FakeStore::isReachable(const std::string &node) const
{
    const auto refused = refuses_.find(node);
    return !down_ && (refused == refuses_.end() || !refused->second);
}

RecordStore FakeStore::access(const std::string &node)
{
    RecordStore store;
    store.append_ = [this, node](const StoreAppend &request, std::function<void(const StoreAppendResult &)> done) {
        queue_.after(latency_ / 2, [this, node, request, done = std::move(done)] {
            if (!isReachable(node)) {
                const StoreStatus status = down_ ? StoreStatus::Unknown : StoreStatus::Rejected;
                queue_.after(down_ ? request.timeout_ : latency_, [done, status] { done(StoreAppendResult{status}); });
                return;
            }
            const std::optional<Duration> time = appendTime(partition(request.to_));
            if (!time || exceeds(writes_, limits_.appendsPerSecond_)) {
                ++overloadedCalls_;
                queue_.after(latency_ / 2, [done] { done(StoreAppendResult{StoreStatus::Rejected}); });
                return;
            }
            const StoreAppendResult result = append(request);
            if (loseAnswers_ > 0) {
                --loseAnswers_;
                queue_.after(request.timeout_, [done] { done(StoreAppendResult{}); });
                return;
            }
            queue_.after(latency_ / 2 + *time, [done, result] { done(result); });
        });
    };
    store.read_ = [this, node](const StoreRead &request, std::function<void(const StorePage &)> done) {
        const Time until = queue_.now() + request.wait_;
        queue_.after(latency_ / 2,
                     [this, node, request, done = std::move(done), until] { read(node, request, done, until); });
    };
    store.newest_ = [this, node](const StoreNewest &request, std::function<void(const StorePage &)> done) {
        queue_.after(latency_, [this, node, request, done = std::move(done)] {
            if (!isReachable(node)) {
                StorePage page;
                page.status_ = down_ ? StoreStatus::Unknown : StoreStatus::Rejected;
                queue_.after(down_ ? request.timeout_ : Duration{0}, [done, page] { done(page); });
                return;
            }
            sendPage(newestPage(request.from_, request.after_), request.timeout_, done);
        });
    };
    return store;
}

StorePage FakeStore::newestPage(const PartitionId &id, const std::string &after)
{
    StorePage page;
    const auto frozen = frozen_.find(internal::nameOf(id));
    const Partition &from = frozen == frozen_.end() ? partition(id) : frozen->second;
    page.status_ = StoreStatus::Ok;
    page.end_ = from.records_.size();
    std::size_t bytes = 0;
    auto next = after.empty() ? from.newest_.begin() : from.newest_.upper_bound(after);
    for (; next != from.newest_.end() && page.records_.size() < limits_.pageRecords_ && bytes < limits_.pageBytes_;
         ++next) {
        page.records_.push_back(next->second);
        bytes += internal::sizeOf(next->second);
    }
    page.more_ = next != from.newest_.end();
    return page;
}

void FakeStore::freezeNewest(bool frozen)
{
    frozen_ = frozen ? partitions_ : std::map<std::string, Partition>();
}

bool FakeStore::exceeds(Rate &rate, std::uint64_t most)
{
    if (queue_.now() - rate.second_ >= Duration{1'000'000}) {
        rate = Rate{queue_.now(), 0};
    }
    return ++rate.calls_ > most && most > 0;
}

void FakeStore::sendPage(StorePage page, Duration timeout, const std::function<void(const StorePage &)> &done)
{
    const Time now = queue_.now();
    if (exceeds(reads_, limits_.readsPerSecond_) || sendingUntil_ - now > limits_.longestQueue_) {
        ++overloadedCalls_;
        StorePage rejected;
        rejected.status_ = StoreStatus::Rejected;
        done(rejected);
        return;
    }
    std::size_t bytes = 0;
    for (const KeyedRecord &record : page.records_) {
        bytes += internal::sizeOf(record);
    }
    bytesRead_ += bytes;
    if (limits_.readBytesPerSecond_ <= 0.0) {
        done(page);
        return;
    }
    const double seconds = static_cast<double>(bytes) / limits_.readBytesPerSecond_;
    sendingUntil_ =
        std::max(sendingUntil_, now) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (sendingUntil_ - now > timeout) {
        // The answer takes its share of what the store can send, although nobody waits for it any more.
        ++overloadedCalls_;
        queue_.at(now + timeout, [done] { done(StorePage{}); });
        return;
    }
    queue_.at(sendingUntil_, [done, page = std::move(page)] { done(page); });
}

std::optional<Duration> FakeStore::appendTime(Partition &to)
{
    const Time now = queue_.now();
    if (to.appendsUntil_ - now > limits_.longestQueue_) {
        return std::nullopt;
    }
    to.appendsUntil_ = std::max(to.appendsUntil_, now) + limits_.appendTime_;
    return to.appendsUntil_ - now;
}

StoreAppendResult FakeStore::append(const StoreAppend &request)
{
    Partition &to = partition(request.to_);
    if (request.sequence_) {
        auto known = to.writers_.find(request.sequence_->writer_);
        if (known != to.writers_.end() && known->second.first == request.sequence_->epoch_) {
            const std::uint64_t last = known->second.second;
            if (request.sequence_->sequence_ <= last) {
                return StoreAppendResult{StoreStatus::Ok, to.records_.size(), 0};
            }
            if (request.sequence_->sequence_ != last + 1) {
                return StoreAppendResult{StoreStatus::Fenced, 0, last + 1};
            }
        }
        to.writers_[request.sequence_->writer_] = {request.sequence_->epoch_, request.sequence_->sequence_};
    }
    ++appends_;
    for (const KeyedRecord &record : request.records_) {
        put(request.to_, record.key_, record.value_);
    }
    return StoreAppendResult{StoreStatus::Ok, to.records_.size(), 0};
}

void FakeStore::put(const PartitionId &id, const std::string &key, const std::optional<std::string> &value)
{
    Partition &to = partition(id);
    const KeyedRecord record{key, value, to.records_.size()};
    to.records_.push_back(record);
    if (value) {
        to.newest_[key] = record;
    } else {
        to.newest_.erase(key);
    }
    std::vector<std::function<void()>> waiting;
    waiting.swap(to.waiting_);
    for (std::function<void()> &read : waiting) {
        queue_.after(Duration{0}, std::move(read));
    }
}

void FakeStore::read(const std::string &node,
                     const StoreRead &request,
                     std::function<void(const StorePage &)> done,
                     Time until)
{
    StorePage page;
    if (!isReachable(node)) {
        page.status_ = down_ ? StoreStatus::Unknown : StoreStatus::Rejected;
        queue_.after(down_ ? request.wait_ + request.timeout_ : latency_, [done, page] { done(page); });
        return;
    }
    Partition &from = partition(request.from_);
    page.end_ = from.records_.size();
    if (request.offset_ < from.first_) {
        page.status_ = StoreStatus::Trimmed;
    } else {
        page.status_ = StoreStatus::Ok;
        page.records_.assign(from.records_.begin() + static_cast<std::ptrdiff_t>(request.offset_), from.records_.end());
    }
    if (page.status_ == StoreStatus::Ok && page.records_.empty() && queue_.now() < until) {
        const std::shared_ptr<bool> ended = std::make_shared<bool>(false);
        const auto again = [this, node, request, done, until, ended] {
            if (!*ended) {
                *ended = true;
                read(node, request, done, until);
            }
        };
        from.waiting_.push_back(again);
        queue_.at(until, again);
        return;
    }
    // The caller's time runs from the moment at which it sent the request, not from the end of the wait.
    const Time deadline = until + request.timeout_;
    queue_.after(latency_ / 2, [this, done, page = std::move(page), deadline]() mutable {
        sendPage(std::move(page), std::max(Duration{0}, deadline - queue_.now()), done);
    });
}

std::size_t FakeStore::keys(const std::string &streams) const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, Partition> &entry : partitions_) {
        count += entry.first.compare(0, streams.size(), streams) == 0 ? entry.second.newest_.size() : 0;
    }
    return count;
}

std::uint64_t FakeStore::bytesRead() const
{
    return bytesRead_;
}

std::uint64_t FakeStore::overloadedCalls() const
{
    return overloadedCalls_;
}

void FakeStore::trim()
{
    for (std::pair<const std::string, Partition> &entry : partitions_) {
        entry.second.first_ = entry.second.records_.size();
    }
}

std::size_t FakeStore::appends() const
{
    return appends_;
}

} // namespace filbertgw::bench

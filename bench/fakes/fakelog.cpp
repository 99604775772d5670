#include "fakes/fakelog.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace filbertgw::bench {

namespace {

constexpr std::size_t maxPageEntries = 500;

} // namespace

void VirtualLoop::at(Time time, std::function<void()> event)
{
    events_.push({std::max(time, now_), order_++, std::move(event)});
}

void VirtualLoop::after(Duration delay, std::function<void()> event)
{
    at(now_ + delay, std::move(event));
}

void VirtualLoop::runUntil(Time time)
{
    while (!events_.empty() && events_.top().time_ <= time) {
        // The queue has no way to move its top out; it is popped at once.
        Event event = std::move(const_cast<Event &>(events_.top()));
        events_.pop();
        now_ = event.time_;
        event.run_();
    }
    now_ = std::max(now_, time);
}

std::uint64_t SeededRandom::next()
{
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

double SeededRandom::uniform()
{
    return static_cast<double>(next() >> 11U) * 0x1.0p-53;
}

std::int64_t SeededRandom::between(std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(high - low + 1));
}

bool SeededRandom::chance(double probability)
{
    return uniform() < probability;
}

FakeLog::FakeLog(VirtualLoop &loop, std::uint64_t seed)
    : loop_(loop)
    , random_(seed)
{
}

LogAccess FakeLog::access(Deliver deliver, std::function<bool()> reachable)
{
    LogAccess access;
    access.append_ = [this, deliver, reachable](
                         const std::string &stream, std::vector<nlohmann::json> entries, LogAccess::AppendDone done) {
        append(stream, std::move(entries), done, deliver, !reachable || reachable());
    };
    access.read_ =
        [this, deliver, reachable](const std::string &stream, Offset from, Duration wait, LogAccess::ReadDone done) {
            read(stream, from, wait, done, deliver, !reachable || reachable());
        };
    return access;
}

const std::vector<LogEntry> &FakeLog::entries(const std::string &stream) const
{
    static const std::vector<LogEntry> none;
    const std::map<std::string, Stream>::const_iterator found = streams_.find(stream);
    return found == streams_.end() ? none : found->second.entries_;
}

Offset FakeLog::put(const std::string &name, const std::vector<nlohmann::json> &entries)
{
    Stream &stream = streams_[name];
    const Offset first = stream.firstOffset_ + stream.entries_.size();
    Offset offset = first;
    for (const nlohmann::json &body : entries) {
        stream.entries_.push_back({offset++, loop_.now(), body});
    }
    const std::vector<std::shared_ptr<Waiting>> waiting = std::move(stream.waiting_);
    stream.waiting_.clear();
    for (const std::shared_ptr<Waiting> &reader : waiting) {
        answerRead(stream, reader, true);
    }
    return first;
}

void FakeLog::expireBefore(const std::string &name, Offset offset)
{
    Stream &stream = streams_[name];
    while (stream.firstOffset_ < offset && !stream.entries_.empty()) {
        stream.entries_.erase(stream.entries_.begin());
        stream.page_.reset();
        ++stream.firstOffset_;
    }
}

void FakeLog::append(const std::string &stream,
                     std::vector<nlohmann::json> entries,
                     const LogAccess::AppendDone &done,
                     const Deliver &deliver,
                     bool reachable)
{
    ++appends_;
    const Duration oneWay = faults_.oneWay_;
    const auto answer = [this, deliver, done](Duration delay, AppendStatus status, Offset first) {
        loop_.after(delay, [deliver, done, status, first]() {
            deliver([done, status, first]() { done(AppendResult{status, first}); });
        });
    };
    if (!reachable || random_.chance(faults_.lostRequests_)) {
        answer(faults_.clientTimeout_, AppendStatus::Unknown, 0);
        return;
    }
    const Duration timeout = faults_.clientTimeout_;
    if (random_.chance(faults_.lateEffects_)) {
        const Duration late = timeout + std::chrono::milliseconds(random_.between(1, 4000));
        loop_.after(late, [this, stream, entries]() {
            if (!faults_.down_) {
                put(stream, entries);
            }
        });
        answer(timeout, AppendStatus::Unknown, 0);
        return;
    }
    const bool isLost = random_.chance(faults_.lostAnswers_);
    const bool isRefused = random_.chance(0.5);
    loop_.after(oneWay, [this, stream, entries, answer, oneWay, timeout, isLost, isRefused]() {
        if (faults_.down_) {
            // An outage shows as a refused connection or as silence.
            answer(isRefused ? oneWay : timeout, isRefused ? AppendStatus::Rejected : AppendStatus::Unknown, 0);
            return;
        }
        const Offset first = put(stream, entries);
        const Duration delay = oneWay + faults_.extraDelay_;
        if (isLost || delay >= timeout) {
            answer(timeout, AppendStatus::Unknown, 0);
        } else {
            answer(delay, AppendStatus::Durable, first);
        }
    });
}

void FakeLog::read(const std::string &name,
                   Offset from,
                   Duration wait,
                   const LogAccess::ReadDone &done,
                   const Deliver &deliver,
                   bool reachable)
{
    const Duration oneWay = faults_.oneWay_;
    const std::shared_ptr<Waiting> waiting = std::make_shared<Waiting>();
    waiting->from_ = from;
    waiting->deliver_ = deliver;
    waiting->done_ = done;
    if (!reachable) {
        loop_.after(faults_.clientTimeout_, [this, name, waiting]() { answerRead(streams_[name], waiting, false); });
        return;
    }
    loop_.after(oneWay, [this, name, waiting, wait]() {
        Stream &stream = streams_[name];
        const bool hasEntries = stream.firstOffset_ + stream.entries_.size() > waiting->from_;
        if (faults_.down_ || hasEntries || wait.count() == 0) {
            answerRead(stream, waiting, !faults_.down_);
            return;
        }
        stream.waiting_.push_back(waiting);
        loop_.after(wait, [this, name, waiting]() { answerRead(streams_[name], waiting, !faults_.down_); });
    });
}

void FakeLog::answerRead(Stream &stream, const std::shared_ptr<Waiting> &waiting, bool reached)
{
    if (waiting->answered_) {
        return;
    }
    waiting->answered_ = true;
    stream.waiting_.erase(std::remove(stream.waiting_.begin(), stream.waiting_.end(), waiting), stream.waiting_.end());
    const std::shared_ptr<const LogPage> result =
        reached ? page(stream, waiting->from_) : std::make_shared<const LogPage>();
    loop_.after(faults_.oneWay_ + faults_.extraDelay_, [waiting, reached, result]() {
        waiting->deliver_([waiting, reached, result]() { waiting->done_(reached, *result); });
    });
}

std::shared_ptr<const LogPage> FakeLog::page(Stream &stream, Offset from) const
{
    // Most readers wait at the end and get the same page.
    const Offset next = stream.firstOffset_ + stream.entries_.size();
    if (stream.page_ && stream.pageFrom_ == from && stream.pageNext_ == next) {
        return stream.page_;
    }
    const std::shared_ptr<LogPage> shared = std::make_shared<LogPage>();
    LogPage &result = *shared;
    result.firstOffset_ = stream.firstOffset_;
    const Offset start = std::max(from, stream.firstOffset_);
    const std::size_t index = std::min<std::size_t>(start - stream.firstOffset_, stream.entries_.size());
    const std::size_t count = std::min(maxPageEntries, stream.entries_.size() - index);
    const std::vector<LogEntry>::const_iterator first = stream.entries_.begin() + static_cast<std::ptrdiff_t>(index);
    result.entries_.assign(first, first + static_cast<std::ptrdiff_t>(count));
    result.nextOffset_ = start + count;
    stream.page_ = shared;
    stream.pageFrom_ = from;
    stream.pageNext_ = next;
    return shared;
}

} // namespace filbertgw::bench

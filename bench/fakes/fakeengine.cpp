#include "fakes/fakeengine.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace filbertgw::bench {

namespace internal {

/** \brief Keys of shared prefixes have this bit; all others are programs. */
constexpr CacheKey sharedKeyBit = CacheKey{1} << 62U;

} // namespace internal

EngineSettings EngineSettings::fromJson(const nlohmann::json &json)
{
    EngineSettings result;
    result.stepSeconds_ = json.at("step_ms").get<double>() / 1000;
    result.streamSeconds_ = json.at("stream_ms").get<double>() / 1000;
    result.maxStreams_ = json.at("max_streams");
    result.prefillTokensPerSecond_ = json.at("prefill_tokens_per_s");
    result.chunkTokens_ = json.at("chunk_tokens");
    result.cacheTokens_ = json.at("cache_tokens");
    result.blockTokens_ = json.at("block_tokens");
    result.transferTokensPerSecond_ = json.at("transfer_tokens_per_s");
    result.transfers_ = json.at("transfers");
    result.exportStoreTokens_ = json.at("export_store_tokens");
    return result;
}

FakeEngine::FakeEngine(EventQueue &events, const EngineSettings &settings, Hooks hooks)
    : events_(events)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , transferOut_(settings.transfers_)
    , transferIn_(settings.transfers_)
{
}

void FakeEngine::submit(const EngineJob &job)
{
    exporting_.erase(job.program_);
    waiting_.emplace(QueueKey{job.priority_, ++sequence_}, job);
    if (stepping_) {
        interruptSteps();
    } else {
        startSteps();
    }
}

Time FakeEngine::reserveTransfer(FakeEngine &source, FakeEngine &target, std::int64_t tokens)
{
    std::vector<Time>::iterator out = std::min_element(source.transferOut_.begin(), source.transferOut_.end());
    std::vector<Time>::iterator in = std::min_element(target.transferIn_.begin(), target.transferIn_.end());
    const Time start = std::max({events_.now(), *out, *in});
    const Time end = start + fromSeconds(static_cast<double>(tokens) / settings_.transferTokensPerSecond_);
    *out = end;
    *in = end;
    return end;
}

void FakeEngine::submitAfterImport(const EngineJob &job, FakeEngine &source)
{
    const CacheKey key = job.program_;
    const std::unordered_map<CacheKey, std::int64_t>::const_iterator stored = source.exported_.find(key);
    const bool fromStore = stored != source.exported_.end();
    const std::int64_t tokens = fromStore ? stored->second : source.cachedTokens(key);
    if (tokens <= cachedTokens(key)) {
        submit(job);
        return;
    }
    importing_.insert(job.id_);
    source.exporting_.erase(key);
    const Time end = reserveTransfer(source, *this, tokens);
    Import import{job, &source, source.life_, life_, tokens, fromStore};
    events_.at(end, [this, import] { finishImport(import); });
}

void FakeEngine::finishImport(const Import &import)
{
    const CacheKey key = import.job_.program_;
    if (import.life_ != life_ || importing_.count(import.job_.id_) == 0) {
        return;
    }
    FakeEngine &source = *import.source_;
    const bool sameLife = import.sourceLife_ == source.life_;
    const bool intact = sameLife && (import.fromStore_ || source.cachedTokens(key) >= import.tokens_);
    if (intact && !makeRoom(import.tokens_ + import.job_.sharedTokens_)) {
        // Running jobs hold all the memory; the import waits for one of them.
        constexpr Duration retryInterval = std::chrono::milliseconds(100);
        events_.after(retryInterval, [this, import] { finishImport(import); });
        return;
    }
    importing_.erase(import.job_.id_);
    if (intact) {
        Entry &shared = touch(import.job_.shared_);
        setTokens(shared, std::max(shared.tokens_, import.job_.sharedTokens_));
        setTokens(touch(key), import.tokens_);
        setParent(key, import.job_.shared_);
    }
    const std::unordered_map<CacheKey, std::int64_t>::iterator stored = source.exported_.find(key);
    if (import.fromStore_ && sameLife && stored != source.exported_.end()) {
        source.exportedTokens_ -= stored->second;
        source.exportOrder_.remove(key);
        source.exported_.erase(stored);
    }
    submit(import.job_);
}

void FakeEngine::cancel(std::uint64_t job)
{
    importing_.erase(job);
    for (std::map<QueueKey, EngineJob>::iterator it = waiting_.begin(); it != waiting_.end(); ++it) {
        if (it->second.id_ == job) {
            waiting_.erase(it);
            return;
        }
    }
    for (Running &running : running_) {
        if (running.job_.id_ == job) {
            running.prefillLeft_ = 0;
            running.decodeLeft_ = 0;
            interruptSteps();
        }
    }
}

void FakeEngine::release(CacheKey program)
{
    const std::unordered_map<CacheKey, std::int64_t>::iterator stored = exported_.find(program);
    if (stored != exported_.end()) {
        exportedTokens_ -= stored->second;
        exportOrder_.remove(program);
        exported_.erase(stored);
    }
    const std::unordered_map<CacheKey, Entry>::iterator entry = cache_.find(program);
    if (entry == cache_.end()) {
        return;
    }
    if (entry->second.locks_ > 0) {
        entry->second.released_ = true;
        return;
    }
    erase(program);
}

void FakeEngine::exportProgram(CacheKey program)
{
    const std::int64_t tokens = cachedTokens(program);
    if (tokens == 0 || cache_.at(program).locks_ > 0) {
        return;
    }
    exporting_.insert(program);
    std::vector<Time>::iterator out = std::min_element(transferOut_.begin(), transferOut_.end());
    *out =
        std::max(events_.now(), *out) + fromSeconds(static_cast<double>(tokens) / settings_.transferTokensPerSecond_);
    events_.at(*out, [this, program, tokens, life = life_] {
        const bool wanted = life == life_ && exporting_.erase(program) > 0;
        if (!wanted || cachedTokens(program) != tokens || cache_.at(program).locks_ > 0) {
            return;
        }
        erase(program);
        storeExport(program, tokens);
    });
}

void FakeEngine::storeExport(CacheKey key, std::int64_t tokens)
{
    exported_[key] = tokens;
    exportOrder_.push_back(key);
    exportedTokens_ += tokens;
    while (exportedTokens_ > settings_.exportStoreTokens_) {
        const CacheKey oldest = exportOrder_.front();
        exportOrder_.pop_front();
        exportedTokens_ -= exported_[oldest];
        exported_.erase(oldest);
    }
}

void FakeEngine::crash()
{
    settleIdle();
    up_ = false;
    ++life_;
    ++epoch_;
    stepping_ = false;
    std::vector<std::uint64_t> jobs(importing_.begin(), importing_.end());
    for (const std::pair<const QueueKey, EngineJob> &entry : waiting_) {
        jobs.push_back(entry.second.id_);
    }
    for (const Running &running : running_) {
        jobs.push_back(running.job_.id_);
    }
    importing_.clear();
    exporting_.clear();
    waiting_.clear();
    running_.clear();
    cache_.clear();
    order_.clear();
    exported_.clear();
    exportOrder_.clear();
    used_ = 0;
    locked_ = 0;
    exportedTokens_ = 0;
    for (std::uint64_t job : jobs) {
        hooks_.crashed_(job);
    }
}

void FakeEngine::restart()
{
    up_ = true;
}

EngineLoad FakeEngine::load() const
{
    EngineLoad result;
    result.running_ = static_cast<int>(running_.size());
    result.waiting_ = static_cast<int>(waiting_.size() + importing_.size());
    for (const std::pair<const QueueKey, EngineJob> &entry : waiting_) {
        const EngineJob &job = entry.second;
        result.waitingPromptTokens_ += std::max<std::int64_t>(
            0, job.promptTokens_ - cachedTokens(job.program_) - std::min(job.sharedTokens_, cachedTokens(job.shared_)));
    }
    for (const Running &running : running_) {
        result.waitingPromptTokens_ += running.prefillLeft_;
    }
    result.cacheUsed_ = used_;
    for (const std::pair<const CacheKey, Entry> &entry : cache_) {
        result.programs_ += (entry.first & internal::sharedKeyBit) == 0 ? 1 : 0;
    }
    return result;
}

std::vector<CacheKey> FakeEngine::heldPrograms() const
{
    std::vector<CacheKey> result;
    for (const std::pair<const CacheKey, Entry> &entry : cache_) {
        if ((entry.first & internal::sharedKeyBit) == 0) {
            result.push_back(entry.first);
        }
    }
    for (const std::pair<const CacheKey, std::int64_t> &entry : exported_) {
        result.push_back(entry.first);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::int64_t FakeEngine::cachedTokens(CacheKey key) const
{
    const std::unordered_map<CacheKey, Entry>::const_iterator entry = cache_.find(key);
    return entry == cache_.end() ? 0 : entry->second.tokens_;
}

double FakeEngine::idleTokenSeconds()
{
    settleIdle();
    return idleTokenSeconds_;
}

void FakeEngine::settleIdle()
{
    idleTokenSeconds_ += static_cast<double>(used_ - locked_) * toSeconds(events_.now() - idleSince_);
    idleSince_ = events_.now();
}

FakeEngine::Entry &FakeEngine::touch(CacheKey key)
{
    const std::pair<std::unordered_map<CacheKey, Entry>::iterator, bool> inserted = cache_.try_emplace(key);
    Entry &entry = inserted.first->second;
    if (inserted.second) {
        entry.position_ = order_.insert(order_.end(), key);
    } else {
        order_.splice(order_.end(), order_, entry.position_);
    }
    return entry;
}

void FakeEngine::setParent(CacheKey key, CacheKey parent)
{
    Entry &entry = cache_.at(key);
    if (entry.parent_ == 0) {
        entry.parent_ = parent;
        ++cache_.at(parent).children_;
    }
}

void FakeEngine::setTokens(Entry &entry, std::int64_t tokens)
{
    settleIdle();
    used_ += tokens - entry.tokens_;
    if (entry.locks_ > 0) {
        locked_ += tokens - entry.tokens_;
    }
    entry.tokens_ = tokens;
}

void FakeEngine::erase(CacheKey key)
{
    const std::unordered_map<CacheKey, Entry>::iterator entry = cache_.find(key);
    setTokens(entry->second, 0);
    if (entry->second.parent_ != 0) {
        --cache_.at(entry->second.parent_).children_;
    }
    order_.erase(entry->second.position_);
    cache_.erase(entry);
}

void FakeEngine::lock(CacheKey key)
{
    settleIdle();
    Entry &entry = touch(key);
    entry.released_ = false;
    if (entry.locks_++ == 0) {
        locked_ += entry.tokens_;
    }
}

void FakeEngine::unlock(CacheKey key)
{
    settleIdle();
    Entry &entry = touch(key);
    if (--entry.locks_ == 0) {
        locked_ -= entry.tokens_;
        if (entry.released_) {
            erase(key);
        }
    }
}

bool FakeEngine::makeRoom(std::int64_t tokens)
{
    if (locked_ + tokens > settings_.cacheTokens_) {
        return false;
    }
    std::list<CacheKey>::iterator candidate = order_.begin();
    while (used_ + tokens > settings_.cacheTokens_) {
        const Entry &looked = cache_.at(*candidate);
        if (looked.locks_ > 0 || looked.children_ > 0) {
            ++candidate;
            candidate = candidate == order_.end() ? order_.begin() : candidate;
            continue;
        }
        const CacheKey key = *candidate++;
        candidate = candidate == order_.end() ? order_.begin() : candidate;
        Entry &entry = cache_.at(key);
        const std::int64_t excess = used_ + tokens - settings_.cacheTokens_;
        const std::int64_t blocks = (excess + settings_.blockTokens_ - 1) / settings_.blockTokens_;
        const std::int64_t left = std::max<std::int64_t>(0, entry.tokens_ - blocks * settings_.blockTokens_);
        hooks_.cacheChanged_(key, left, true);
        if (left == 0) {
            erase(key);
            candidate = order_.begin();
        } else {
            setTokens(entry, left);
        }
    }
    return true;
}

bool FakeEngine::admit(const EngineJob &job)
{
    const std::int64_t own = job.promptTokens_ - job.sharedTokens_ + job.generate_;
    lock(job.shared_);
    lock(job.program_);
    setParent(job.program_, job.shared_);
    const std::int64_t sharedCached = std::min(cachedTokens(job.shared_), job.sharedTokens_);
    std::int64_t ownCached = std::min(cachedTokens(job.program_), job.promptTokens_ - job.sharedTokens_);
    const std::int64_t growth =
        job.sharedTokens_ - sharedCached + std::max<std::int64_t>(0, own - cachedTokens(job.program_));
    if (!makeRoom(growth)) {
        unlock(job.program_);
        unlock(job.shared_);
        return false;
    }
    setTokens(cache_.at(job.shared_), std::max(cachedTokens(job.shared_), job.sharedTokens_));
    setTokens(cache_.at(job.program_), std::max(cachedTokens(job.program_), own));
    if (sharedCached < job.sharedTokens_) {
        ownCached = 0;
    }
    Running running;
    running.job_ = job;
    running.cached_ = (sharedCached + ownCached) / settings_.blockTokens_ * settings_.blockTokens_;
    running.computed_ = std::max<std::int64_t>(1, job.promptTokens_ - running.cached_);
    running.prefillLeft_ = running.computed_;
    running.decodeLeft_ = job.generate_;
    running_.push_back(running);
    if (job.alone_) {
        hooks_.begunAlone_(job.id_);
    }
    return true;
}

void FakeEngine::admitWaiting()
{
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(settings_.maxStreams_)) {
        const EngineJob &job = waiting_.begin()->second;
        const bool blocked = !running_.empty() && (job.alone_ || running_.front().job_.alone_);
        if (blocked || !admit(job)) {
            return;
        }
        waiting_.erase(waiting_.begin());
    }
}

void FakeEngine::startSteps()
{
    admitWaiting();
    if (running_.empty()) {
        stepping_ = false;
        return;
    }
    const Running *head = nullptr;
    int decoding = 0;
    std::int64_t steps = 1'000'000;
    for (const Running &running : running_) {
        if (running.prefillLeft_ > 0) {
            const bool first = head == nullptr || running.job_.priority_ < head->job_.priority_;
            head = first ? &running : head;
        } else {
            ++decoding;
            steps = std::min(steps, std::max<std::int64_t>(1, running.decodeLeft_));
        }
    }
    if (head != nullptr && head->job_.poison_) {
        hooks_.poisoned_();
        return;
    }
    stepChunk_ = head == nullptr ? 0 : std::min(settings_.chunkTokens_, head->prefillLeft_);
    if (head != nullptr) {
        steps = std::min(steps, std::max<std::int64_t>(1, head->prefillLeft_ / settings_.chunkTokens_));
    }
    const double decodeSeconds = decoding > 0 ? settings_.stepSeconds_ + settings_.streamSeconds_ * decoding : 0;
    stepTime_ = fromSeconds(decodeSeconds + static_cast<double>(stepChunk_) / settings_.prefillTokensPerSecond_);
    stepCount_ = steps;
    stepStart_ = events_.now();
    stepping_ = true;
    events_.at(stepStart_ + stepTime_ * stepCount_, [this, epoch = ++epoch_] {
        if (epoch == epoch_) {
            onStepsDone();
        }
    });
}

void FakeEngine::interruptSteps()
{
    if (!stepping_ || stepCount_ == 1) {
        return;
    }
    const std::int64_t begun = (events_.now() - stepStart_).count() / std::max<std::int64_t>(1, stepTime_.count()) + 1;
    if (begun >= stepCount_) {
        return;
    }
    stepCount_ = begun;
    events_.at(stepStart_ + stepTime_ * stepCount_, [this, epoch = ++epoch_] {
        if (epoch == epoch_) {
            onStepsDone();
        }
    });
}

void FakeEngine::onStepsDone()
{
    Running *head = nullptr;
    for (Running &running : running_) {
        if (running.prefillLeft_ > 0) {
            head = head == nullptr || running.job_.priority_ < head->job_.priority_ ? &running : head;
        } else {
            running.decodeLeft_ -= stepCount_;
        }
    }
    std::vector<Running> prefilled;
    std::vector<std::uint64_t> finished;
    if (head != nullptr) {
        head->prefillLeft_ = std::max<std::int64_t>(0, head->prefillLeft_ - stepChunk_ * stepCount_);
        if (head->prefillLeft_ == 0) {
            prefilled.push_back(*head);
        }
    }
    for (std::size_t i = 0; i < running_.size();) {
        const Running &running = running_[i];
        if (running.prefillLeft_ > 0 || running.decodeLeft_ > 0) {
            ++i;
            continue;
        }
        finished.push_back(running.job_.id_);
        hooks_.cacheChanged_(running.job_.program_, cachedTokens(running.job_.program_), false);
        unlock(running.job_.program_);
        unlock(running.job_.shared_);
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    startSteps();
    for (const Running &running : prefilled) {
        hooks_.cacheChanged_(running.job_.shared_, running.job_.sharedTokens_, false);
        hooks_.prefilled_(running.job_.id_, running.computed_, running.cached_);
    }
    for (std::uint64_t job : finished) {
        hooks_.finished_(job);
    }
}

} // namespace filbertgw::bench

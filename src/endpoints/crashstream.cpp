#include "endpoints/crashstream.h"

#include "core/cbor.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const PartitionId crashPartition{"crashes", 0};
const char *const excusedKey = "excused";
constexpr char keySeparator = '/';
/** The record that creates the stream; its key has no separator. */
const char *const formatKey = "format";
const char *const formatVersion = "1";
constexpr Duration createDelay{1'000'000};
/** Records that wait while the store is away; the oldest are dropped beyond it. */
constexpr std::size_t maxPendingRecords = 4096;
constexpr Duration readPause{500'000};
constexpr Duration readWait{3'000'000};

std::string keyOf(const CrashRecord &record)
{
    return record.request_ + keySeparator + record.endpoint_;
}

/** The request and the endpoint of a key. \return nothing for a key of another form. */
std::optional<CrashRecord> parseKey(const std::string &key)
{
    const std::size_t separator = key.find(keySeparator);
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    return CrashRecord{key.substr(0, separator), key.substr(separator + 1), false};
}

} // namespace
} // namespace internal

CrashStream::CrashStream(CrashStreamHooks hooks, const std::string &writer)
    : hooks_(std::move(hooks))
{
    BatchAppenderHooks appender;
    appender.after_ = hooks_.after_;
    appender.store_ = hooks_.store_;
    appender.onDurable_ = [this] { flush(); };
    appender.onSlow_ = [] {};
    BatchAppenderSettings appenderSettings;
    appenderSettings.writer_ = writer;
    appenderSettings.partition_ = internal::crashPartition;
    appender_ = std::make_unique<BatchAppender>(std::move(appender), std::move(appenderSettings));

    StreamTailHooks tail;
    tail.now_ = hooks_.now_;
    tail.after_ = hooks_.after_;
    tail.store_ = hooks_.store_;
    tail.onRecord_ = [this](const KeyedRecord &record) { applyRecord(record); };
    StreamTailSettings tailSettings;
    tailSettings.partition_ = internal::crashPartition;
    tailSettings.pause_ = internal::readPause;
    tailSettings.wait_ = internal::readWait;
    tail_ = std::make_unique<StreamTail>(std::move(tail), std::move(tailSettings));
}

CrashStream::~CrashStream()
{
    *isAlive_ = false;
}

void CrashStream::start()
{
    tail_->start();
    createStream();
}

void CrashStream::createStream()
{
    hooks_.after_(internal::createDelay, [this, isAlive = isAlive_] {
        if (!*isAlive || tail_->position() > 0) {
            return;
        }
        if (tail_->isComplete() && !appender_->isBusy()) {
            pending_.push_back(KeyedRecord{internal::formatKey, internal::formatVersion});
            flush();
        }
        createStream();
    });
}

void CrashStream::applyRecord(const KeyedRecord &record) const
{
    std::optional<CrashRecord> crash = internal::parseKey(record.key_);
    if (!crash) {
        return;
    }
    if (!record.value_) {
        hooks_.onRemoved_(crash->request_, crash->endpoint_);
        return;
    }
    const nlohmann::json body = decodeJson(*record.value_);
    crash->isExcused_ = body.is_object() && body.contains(internal::excusedKey) && body[internal::excusedKey] == true;
    hooks_.onRecord_(*crash);
}

void CrashStream::append(const std::vector<CrashRecord> &records)
{
    for (const CrashRecord &record : records) {
        const nlohmann::json value = {{internal::excusedKey, record.isExcused_}};
        pending_.push_back(KeyedRecord{internal::keyOf(record), value.dump()});
    }
    flush();
}

void CrashStream::remove(const std::vector<CrashRecord> &records)
{
    for (const CrashRecord &record : records) {
        pending_.push_back(KeyedRecord{internal::keyOf(record), std::nullopt});
    }
    flush();
}

bool CrashStream::isReachable() const
{
    return tail_->isReachable();
}

void CrashStream::flush()
{
    if (pending_.size() > internal::maxPendingRecords) {
        pending_.erase(pending_.begin(), pending_.end() - internal::maxPendingRecords);
    }
    if (!pending_.empty() && !appender_->isBusy()) {
        appender_->append(std::exchange(pending_, {}));
    }
}

} // namespace filbertgw

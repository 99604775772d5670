#ifndef FILBERTGW_ENDPOINTS_CRASHSTREAM_H
#define FILBERTGW_ENDPOINTS_CRASHSTREAM_H

#include "endpoints/crashrecord.h"
#include "ledger/batchappender.h"
#include "store/streamtail.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

struct CrashStreamHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(const CrashRecord &)> onRecord_;
    std::function<void(const std::string &request, const std::string &endpoint)> onRemoved_;
};

/**
 * \brief Keeps crash records in the record store, where they survive the loss of all nodes, and follows those of
 * others.
 *
 * Each record has a key of its own, so that writers never conflict.
 */
class CrashStream
{
public:
    /** \param writer name of this node and its start. \sa WriterSequence */
    CrashStream(CrashStreamHooks hooks, const std::string &writer);
    ~CrashStream();

    void start();
    /** \brief Stores records; waits while the store is away. */
    void append(const std::vector<CrashRecord> &records);
    void remove(const std::vector<CrashRecord> &records);
    bool isReachable() const;

private:
    void applyRecord(const KeyedRecord &record) const;
    /** \brief Writes a first record, since the store knows no empty streams and rejects reads of them. */
    void createStream();
    void flush();

    CrashStreamHooks hooks_;
    std::vector<KeyedRecord> pending_;
    std::unique_ptr<BatchAppender> appender_;
    std::unique_ptr<StreamTail> tail_;
    const std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< Reset by the destructor; for timers.
};

} // namespace filbertgw

#endif

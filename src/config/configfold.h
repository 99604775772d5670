#ifndef FILBERTGW_CONFIG_CONFIGFOLD_H
#define FILBERTGW_CONFIG_CONFIGFOLD_H

#include "config/configrecord.h"
#include "config/configsection.h"
#include "journal/logtypes.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief Result of folding an entry of the configuration stream. */
enum class FoldResult : std::uint8_t {
    Accepted,
    Duplicate, ///< Its id occurred before; ignored.
    Superseded, ///< `replaces` is not the offset in force: another record came first.
    Invalid,
    UnknownSchema,
    UnknownKind,
    Copy, ///< Appended by a node; `origin` is the offset of the copied record.
    Stale, ///< Its offset is at or before the last folded one.
};

template<>
struct NameTable<FoldResult>
{
    static constexpr std::array<std::pair<FoldResult, std::string_view>, 8> entries{{
        {FoldResult::Accepted, "accepted"},
        {FoldResult::Duplicate, "duplicate"},
        {FoldResult::Superseded, "superseded"},
        {FoldResult::Invalid, "invalid"},
        {FoldResult::UnknownSchema, "unknown_schema"},
        {FoldResult::UnknownKind, "unknown_kind"},
        {FoldResult::Copy, "copy"},
        {FoldResult::Stale, "stale"},
    }};
};

/** \brief An entry whose record is encoded as CBOR to save memory. */
struct PackedEntry
{
    Offset offset_ = 0;
    Time time_{0};
    std::string packed_;
};

PackedEntry packEntry(const LogEntry &entry);
LogEntry unpackEntry(const PackedEntry &entry);

/** \brief Maximum number of rejected records that are listed; the oldest is dropped first. */
constexpr std::size_t maxRejectedRecords = 256;

/** \brief Maximum size in bytes of the recent entries that are kept for peers slightly behind. */
constexpr std::size_t maxRecentBytes = 1024 * 1024;

/** \brief Maximum number of records of an unknown schema or kind that are kept for a later version. */
constexpr std::size_t maxRetainedRecords = 256;

/**
 * \brief A record whose id occurred within this time before it, by the log's clock, is a duplicate.
 *
 * Covers the retries of a publisher that gets no responses; a later repetition is rejected by its `replaces`. The
 * window is far shorter than half the retention time, so that a node that starts from the remaining entries knows the
 * same ids. Such a node misses the ids of the hour before the oldest entry: it would accept the first record of a name
 * in the hour after that entry if other nodes rejected it for one of these ids. The random ids of `publish` prevent
 * this.
 */
constexpr Duration idWindow = std::chrono::hours(1);

/** \brief Maximum number of ids that are remembered within idWindow. */
constexpr std::size_t maxRecentIds = 65'536;

/** \brief Flag in the `from` of a request for the next part of a snapshot. \sa ConfigFold::entriesFrom */
constexpr Offset snapshotContinuation = 1ULL << 63U;

/**
 * \brief Deterministic fold of the configuration stream into the ConfigSection.
 *
 * Two folds of the same stream have the same configuration in force, even if one of them started from a snapshot or
 * after the stream's old entries had expired.
 */
class ConfigFold
{
public:
    /** \brief Writes `section`, which must outlive the fold. */
    explicit ConfigFold(ConfigSection &section);

    /** \brief Folds the next entry. An entry at or before the section's offset changes nothing. */
    FoldResult fold(const LogEntry &entry);

    /**
     * \brief Folds all entries that remain in the log, up to its end, after older ones have expired.
     *
     * A copy states which version was in force after the entries up to its `as_of`, so the records of that key between
     * this version and `as_of` were rejected. A key is copied before the oldest entry that it depends on expires, so
     * the newest copy of a key is the base for the records after it.
     */
    void foldAfterGap(const std::vector<PackedEntry> &entries);

    /** \brief Applies a peer's versions in force as of offset `upTo`; versions older than the local ones are skipped.
     */
    void applySnapshot(const std::vector<PackedEntry> &versions, Offset upTo, const nlohmann::json &recentIds);

    /**
     * \brief At most `limit` entries for a peer: entries of the stream if `from` is recent, otherwise of a snapshot.
     *
     * A snapshot's entries are `{"snapshot":{"source":S,"first":bool,"last":bool},"record":R}`: the versions in force
     * from `from` on in offset order. The last entry has this fold's offset, and `ids` instead of a record. The next
     * part is requested from the offset after the last one received, with snapshotContinuation set.
     */
    std::vector<LogEntry> entriesFrom(Offset from, std::size_t limit, std::uint64_t source) const;

    /** \brief Whole record in force, including unknown fields and accounts, which ConfigSection::records_ leaves out.
     */
    std::optional<nlohmann::json> record(const RecordKey &key) const;

    /**
     * \brief Copies to append for records that depend on entries older than `age`.
     * \param scan number of records to check, continuing where the last call ended.
     */
    std::vector<nlohmann::json> dueCopies(Time now, Duration age, std::size_t scan, std::size_t limit);

    /** \brief True if the next dueCopies() starts at the first record. */
    bool isScanAtStart() const
    {
        return scanCursor_ == RecordKey();
    }

    /** \brief The rejected record at this offset, if it is still listed. */
    std::optional<RejectedRecord> rejectedAt(Offset offset) const;

private:
    struct Version
    {
        Offset offset_ = 0;
        Time replayFromTime_{0}; ///< Time of the oldest entry that a fold from the stream needs to derive this version.
        std::uint64_t idHash_ = 0;
        std::string packed_; ///< Without kind and name, which are in the key, to save memory at 21,000 accounts.
    };
    /** \brief The newest `as_of` of each key and its copy; the records up to there are already decided. */
    using NewestCopies = std::map<RecordKey, std::pair<Offset, const PackedEntry *>>;

    Version *find(const RecordKey &key);
    const Version *find(const RecordKey &key) const;
    static nlohmann::json unpackVersion(const RecordKey &key, const Version &version);
    FoldResult evaluate(const LogEntry &entry);
    FoldResult evaluateCopy(const LogEntry &entry);
    FoldResult reject(const LogEntry &entry, FoldResult result, const std::string &detail);
    void retain(const LogEntry &entry);
    NewestCopies findNewestCopies(const std::vector<PackedEntry> &entries) const;
    void foldUnlessCovered(const LogEntry &entry, const NewestCopies &newestCopies);
    void install(const RecordKey &key, Offset offset, Time replayFromTime, nlohmann::json record);
    void apply(const RecordKey &key, const nlohmann::json *record);
    void applyEndpoint(const std::string &name);
    const nlohmann::json *findExisting(RecordKind kind, const std::string &name) const;
    void applyOperations();
    bool isKnownId(std::uint64_t idHash, const RecordKey &key, Time now) const;
    void rememberId(std::uint64_t idHash, Time now);
    void rememberEntry(const LogEntry &entry);
    std::vector<LogEntry> snapshotFrom(Offset from, std::size_t limit, bool first, std::uint64_t source) const;

    ConfigSection &section_;
    std::unordered_map<const RecordKey *, Version> versions_; ///< By address of the key in ConfigSection::inForce_.
    std::map<Offset, Version> retained_; ///< Records of unknown schemas and kinds.
    std::deque<PackedEntry> recent_;
    std::size_t recentBytes_ = 0;
    std::deque<std::pair<Time, std::uint64_t>> recentIds_;
    std::unordered_map<std::uint64_t, Time> lastSeenIds_;
    RecordKey scanCursor_;
};

} // namespace filbertgw

#endif

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

/** \brief What the fold decided about an entry of the configuration stream. */
enum class FoldResult : std::uint8_t {
    Accepted,
    Duplicate, ///< Its id was seen before; ignored.
    Superseded, ///< `replaces` is not the offset in force: another record was earlier.
    Invalid,
    UnknownSchema,
    UnknownKind,
    Copy, ///< A re-append; `origin` names the record.
    Stale, ///< Its offset is folded in already.
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

/** \brief An entry whose record is packed as CBOR, to be kept in memory. */
struct PackedEntry
{
    Offset offset_ = 0;
    Time time_{0};
    std::string packed_;
};

PackedEntry packEntry(const LogEntry &entry);
LogEntry unpackEntry(const PackedEntry &entry);

/** \brief Most held records that are shown; the oldest goes first. */
constexpr std::size_t maxRejectedRecords = 256;

/** \brief Most bytes of recent entries that are kept for peers that lag by a little. */
constexpr std::size_t maxRecentBytes = 1024 * 1024;

/** \brief Most records of an unknown schema or kind that are kept until a version that knows them runs. */
constexpr std::size_t maxRetainedRecords = 256;

/**
 * \brief A record whose id occurred within this time before it, by the log's clock, is a duplicate.
 *
 * Covers the retries of a publisher whose answers are lost; later `replaces` refuses a repetition. It is far shorter
 * than half the retention time, so that a node that starts from what the log still keeps sees the same occurrences. It
 * does not see those of the hour before the oldest entry: a first record of a name that stands in the hour after it and
 * was refused for an id that was used before then counts for that node. `publish` uses random ids, which rules it out.
 */
constexpr Duration idWindow = std::chrono::hours(1);

/** \brief Most ids that are remembered within idWindow. */
constexpr std::size_t maxRecentIds = 65'536;

/** \brief Set in the `from` of a request that goes on with a snapshot. \sa ConfigFold::entriesFrom */
constexpr Offset snapshotContinuation = 1ULL << 63U;

/**
 * \brief The pure function from the entries of the configuration stream to the ConfigSection.
 *
 * Two folds that were fed the same stream have the same configuration in force, also if one of them was started from
 * a snapshot or from a stream whose old entries are gone.
 */
class ConfigFold
{
public:
    /** \brief Writes `section`, which must outlive the fold. */
    explicit ConfigFold(ConfigSection &section);

    /** \brief Folds the next entry in. An entry at or before the section's offset changes nothing. */
    FoldResult fold(const LogEntry &entry);

    /**
     * \brief Folds all entries that the log still keeps, up to its end, when older ones are gone.
     *
     * A copy proves which version was in force when the entries up to its `as_of` were folded, so the records of that
     * key after the version and up to `as_of` were refused. A key whose oldest entry nears its expiry gets a copy, so
     * the newest proof of a key is the base for the records after it.
     */
    void foldAfterGap(const std::vector<PackedEntry> &entries);

    /** \brief Adopts the versions in force at a peer whose offset is `upTo`; older versions than own ones are skipped.
     */
    void applySnapshot(const std::vector<PackedEntry> &versions, Offset upTo, const nlohmann::json &recentIds);

    /**
     * \brief Entries for a peer, at most `limit`: the stream's own if `from` is recent, else a snapshot.
     *
     * A snapshot's entries are `{"snapshot":{"source":S,"first":bool,"last":bool},"record":R}`: the versions in force
     * from `from` on in offset order; the last one has this fold's offset and `ids` in place of a record. Its next part
     * starts at the offset after the last one received, with snapshotContinuation set.
     */
    std::vector<LogEntry> entriesFrom(Offset from, std::size_t limit, std::uint64_t source) const;

    /** \brief Whole record in force, unknown fields included; also of kinds that ConfigSection::records_ leaves out. */
    std::optional<nlohmann::json> record(const RecordKey &key) const;

    /**
     * \brief Copies to append for records that only entries older than `age` prove.
     * \param scan number of records to look at, going on where the last call ended.
     */
    std::vector<nlohmann::json> dueCopies(Time now, Duration age, std::size_t scan, std::size_t limit);

    /** \brief True if the next dueCopies() looks at the first record again. */
    bool isScanAtStart() const
    {
        return scanCursor_ == RecordKey();
    }

    /** \brief Why the record at this offset is not in force; nothing if it isn't among the held records. */
    std::optional<RejectedRecord> rejectedAt(Offset offset) const;

private:
    struct Version
    {
        Offset offset_ = 0;
        Time replayFromTime_{0}; ///< Age of the oldest entry that a reader of the stream needs to find this version.
        std::uint64_t idHash_ = 0;
        std::string packed_; ///< Without kind and name, which the key has; 21,000 accounts are kept.
    };
    /** \brief Of each key the newest `as_of` and its copy; the records up to there are judged. */
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
    std::unordered_map<const RecordKey *, Version> versions_; ///< By the keys of ConfigSection::inForce_.
    std::map<Offset, Version> retained_; ///< Of unknown schemas and kinds.
    std::deque<PackedEntry> recent_;
    std::size_t recentBytes_ = 0;
    std::deque<std::pair<Time, std::uint64_t>> recentIds_;
    std::unordered_map<std::uint64_t, Time> lastSeenIds_;
    RecordKey scanCursor_;
};

} // namespace filbertgw

#endif

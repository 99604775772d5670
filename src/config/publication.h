#ifndef FILBERTGW_CONFIG_PUBLICATION_H
#define FILBERTGW_CONFIG_PUBLICATION_H

#include "config/configfold.h"
#include "core/failure.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A completed record and its validation errors. */
struct PreparedRecord
{
    nlohmann::json record_;
    std::vector<Failure> errors_; ///< Empty if the record may be appended.
};

/** \brief Result of folding a published record. */
struct PublicationOutcome
{
    FoldResult result_ = FoldResult::Accepted;
    Offset offset_ = 0;
    std::string detail_; ///< Why it is not in force; empty if accepted.
};

/**
 * \brief Prepares records for publication and reports whether they were accepted.
 *
 * Pass every page of the stream from nextOffset() on, up to an empty page, to onPage() before calling prepare(). Then
 * append the record and pass further pages until outcome() has a value. If the append's response was lost and the end
 * of the stream is reached without an outcome, append the same record again: its id prevents it from being applied
 * twice.
 */
class Publication
{
public:
    Publication();
    ~Publication();
    Publication(const Publication &) = delete;
    Publication &operator=(const Publication &) = delete;

    Offset nextOffset() const;
    /** \brief Folds a page; an empty page marks the end of the stream. */
    void onPage(const LogPage &page);
    bool isAtEnd() const;

    /**
     * \brief Fills in `schema` (newest), `id` and `replaces` where the draft lacks them, and validates the result.
     * \param freshId used if the draft has no id.
     */
    PreparedRecord prepare(nlohmann::json draft, const RecordId &freshId) const;

    /** \brief Outcome of the first record with this id that was read since construction. */
    std::optional<PublicationOutcome> outcome(const RecordId &id) const;

    const ConfigSection &section() const;

private:
    void recordOutcome(const LogEntry &entry, FoldResult result);

    ConfigSection section_;
    ConfigFold fold_;
    bool atEnd_ = false;
    Offset gapNext_ = 0; ///< 0 if the stream was read without a gap.
    std::vector<PackedEntry> gapEntries_;
    std::map<RecordId, PublicationOutcome> outcomes_;
};

/** \brief Tracks for `publish --wait` which nodes have folded the record's offset. */
class PublicationProgress
{
public:
    /** \param offset offset at which the record was accepted; a node that has folded it has it in force. */
    explicit PublicationProgress(Offset offset);

    /** \brief Handles a node's response to `GET /state`; without a config offset the node counts as behind. */
    void onNodeState(const std::string &node, const nlohmann::json &state);
    void onNodeUnreachable(const std::string &node);

    std::size_t inForce() const;
    std::size_t nodes() const;
    bool isDone() const;
    /** \brief Nodes that have not folded the record's offset, with the last offset they reported. */
    std::map<std::string, Offset> behind() const;

private:
    Offset offset_;
    std::map<std::string, Offset> nodes_;
};

} // namespace filbertgw

#endif
